package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Machine is the claim of one group by one daemon; see the package comment.
type Machine struct {
	cfg    Config
	random *rand.Rand

	endpoints  []Endpoint
	candidates []string
	rank       int

	phase   Phase
	highest uint64
	owner   Owner
	leaving bool

	// lastStep is the time of the last step; zero before the first one.
	lastStep time.Time
	// evidenceSince is the time before which nothing counts as missed.
	evidenceSince time.Time
	// heardAt is when the owner was last heard of.
	heardAt time.Time
	// retryAt is the end of the current back-off.
	retryAt  time.Time
	failures int

	nextID  uint64
	waiting map[waitKey]waiting
	records map[string]*record

	preVote preVote
	survey  survey

	// The current term.
	term           uint64
	attemptAt      time.Time
	reclaiming     bool
	avoided        string
	granted        map[string]Status
	denied         map[string]bool
	retriedAt      time.Time
	lease          *lease.Lease
	majorityAt     time.Time
	primary        string
	promotedAt     time.Time
	promotionPoint logpos.Position
	marker         logpos.Position
	promoteFailed  map[string]bool
	failedPromotes int

	// lastMajority is the last term that this daemon, or an owner that handed its
	// group over to it, held with a majority; 0 before the first.
	lastMajority uint64
	confirmAfter time.Time

	switchover switchover
	handover   handover

	actions []Action
}

// New returns a Machine that knows neither endpoints nor candidates.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:           cfg,
		random:        rand.New(rand.NewPCG(cfg.Seed, xxhash.Sum64String(cfg.Group))),
		rank:          -1,
		waiting:       make(map[waitKey]waiting),
		records:       make(map[string]*record),
		lease:         lease.New(),
		promoteFailed: make(map[string]bool),
	}
}

// Step processes one event and returns the actions to run, in order. now must
// not decrease from one step to the next.
func (m *Machine) Step(now time.Time, e Event) []Action {
	m.actions = nil
	m.noteTime(now)
	m.handle(now, e)
	m.drive(now)
	return m.actions
}

func (m *Machine) handle(now time.Time, e Event) {
	switch e := e.(type) {
	case SetGroup:
		m.setGroup(e)
	case HeartbeatReceived:
		m.heard(now, e.Owner)
	case PreVoteAnswered:
		m.preVoted(e)
	case Answer:
		m.answered(now, e)
	case TrafficError:
		m.trafficError(now, e.Address)
	case TermObserved:
		m.termSeen(now, e.Term)
	case Leave:
		m.leave(now)
	case Drained:
		m.drained(e.Round)
	case HandoverAnswered:
		m.handoverAnswered(now, e)
	case HandoverOffered:
		m.handoverOffered(now, e.Term)
	}
}

// drive makes the transitions that are due, until the phase is stable.
func (m *Machine) drive(now time.Time) {
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
		m.watch(now)
	case PhasePreVoting:
		m.drivePreVote(now)
	case PhaseSurveying:
		m.driveSurvey(now)
	case PhaseAdvancing:
		m.driveAdvance(now)
	case PhasePromoting:
		m.drivePromote(now)
	case PhaseAwaitingMarker, PhaseOwning:
		m.serve(now)
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
			m.records[a] = &record{}
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

func (m *Machine) act(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) note(kind NoteKind, reason string) {
	term := m.highest
	if m.phase >= PhaseAdvancing {
		term = m.term
	}
	m.act(Note{Kind: kind, Term: term, Reason: reason})
}
