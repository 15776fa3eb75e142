package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Machine is the state machine of one daemon for one group; see the package comment.
type Machine struct {
	cfg    Config
	random *rand.Rand

	endpoints  []Endpoint
	candidates []string
	// rank is this daemon's index in candidates; -1 if it is none of them.
	rank int

	phase Phase
	// highestTerm is the highest term that this daemon knows of.
	highestTerm uint64
	owner       Owner
	leaving     bool

	// lastStep is the time of the last step; zero before the first one.
	lastStep time.Time
	// evidenceSince is the end of the last stall, or the first step. A heartbeat or an
	// answer that was missed before then is no sign of a failure.
	evidenceSince time.Time
	// ownerHeardAt is when the owner's last heartbeat arrived. It is also set when
	// another daemon is expected to be or become the owner, to give that daemon
	// HeartbeatTimeout to send one.
	ownerHeardAt time.Time
	// retryAt is the end of the current backoff.
	retryAt time.Time
	// lostClaims counts consecutive lost claims, for the backoff.
	lostClaims int

	nextID       uint64
	awaitedCalls map[callKey]awaitedCall
	records      map[string]*endpointRecord

	preVote preVote
	survey  survey

	// term is the held or claimed term; the fields up to marker belong to it.
	term             uint64
	attemptStartedAt time.Time
	// reclaiming is true while this daemon claims a new term of a group that it holds,
	// to replace the primary.
	reclaiming bool
	// avoidedPrimary is the primary that is being replaced because it failed.
	avoidedPrimary string
	// granted and denied hold the endpoints' answers to the advance, by address.
	granted        map[string]Status
	denied         map[string]bool
	lastRetryAt    time.Time
	lease          *lease.Lease
	majorityAt     time.Time
	primary        string
	promotedAt     time.Time
	promotionPoint logpos.Position
	marker         logpos.Position

	// failedPrimaries holds the endpoints whose promotion failed since the last
	// successful promotion.
	failedPrimaries            map[string]bool
	consecutivePromoteFailures int

	// lastMajorityTerm is the last term that a majority granted to this daemon, or to an
	// owner that handed the group over to it; 0 before the first.
	lastMajorityTerm uint64
	confirmAfter     time.Time

	switchover switchover
	handover   handover

	actions []Action
}

// New returns a Machine that knows neither endpoints nor candidates.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:             cfg,
		random:          rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Group))),
		rank:            -1,
		awaitedCalls:    make(map[callKey]awaitedCall),
		records:         make(map[string]*endpointRecord),
		lease:           lease.New(),
		failedPrimaries: make(map[string]bool),
	}
}

// Step processes one event and returns the actions to run, in order. now must not
// decrease between steps.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	m.detectStall(now)
	m.handleEvent(now, e)
	m.runTransitions(now)
	return m.actions
}

func (m *Machine) handleEvent(now time.Time, e Event) {
	switch e := e.(type) {
	case SetGroup:
		m.setGroup(e)
	case HeartbeatReceived:
		m.handleHeartbeat(now, e.Owner)
	case PreVoteAnswered:
		m.handlePreVoteAnswer(e)
	case Answer:
		m.handleAnswer(now, e)
	case TrafficError:
		m.handleTrafficError(now, e.Address)
	case TermObserved:
		m.observeTerm(now, e.Term)
	case Leave:
		m.startLeaving(now)
	case Drained:
		m.handleDrained(e.Round)
	case HandoverAnswered:
		m.handleHandoverAnswer(now, e)
	case HandoverOffered:
		m.handleHandoverOffer(now, e.Term)
	}
}

// runTransitions runs the current phase until the phase no longer changes.
func (m *Machine) runTransitions(now time.Time) {
	if len(m.endpoints) == 0 {
		return
	}
	for {
		before := m.phase
		m.drivePhase(now)
		if m.phase == before {
			return
		}
	}
}

func (m *Machine) drivePhase(now time.Time) {
	switch m.phase {
	case PhaseWatching:
		m.driveWatching(now)
	case PhasePreVoting:
		m.drivePreVote(now)
	case PhaseSurveying:
		m.driveSurvey(now)
	case PhaseAdvancing:
		m.driveAdvance(now)
	case PhasePromoting:
		m.drivePromote(now)
	case PhaseAwaitingMarker, PhaseOwning:
		m.driveServing(now)
	case PhaseHandingOver:
		m.driveHandover(now)
	}
}

func (m *Machine) setGroup(e SetGroup) {
	m.endpoints = slices.Clone(e.Endpoints)
	m.candidates = slices.Clone(e.Candidates)
	m.rank = slices.Index(m.candidates, m.cfg.Address)
	addresses := m.addresses()
	for a := range m.records {
		if !slices.Contains(addresses, a) {
			delete(m.records, a)
		}
	}
	for _, a := range addresses {
		if m.records[a] == nil {
			m.records[a] = &endpointRecord{}
		}
	}
}

// addresses returns the endpoints' addresses in the order of the manifest.
func (m *Machine) addresses() []string {
	as := make([]string, len(m.endpoints))
	for i, e := range m.endpoints {
		as[i] = e.Address
	}
	return as
}

func (m *Machine) majority() int { return lease.Majority(len(m.endpoints)) }

func (m *Machine) isLeaving(address string) bool {
	return slices.ContainsFunc(m.endpoints, func(e Endpoint) bool {
		return e.Address == address && e.Leaving
	})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) emitNote(kind NoteKind, reason string) {
	term := m.highestTerm
	if m.phase >= PhaseAdvancing {
		term = m.term
	}
	m.emit(Note{Kind: kind, Term: term, Reason: reason})
}
