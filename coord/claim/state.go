package claim

import (
	"maps"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// State is a snapshot of a Machine. Later steps do not change it.
type State struct {
	Phase Phase
	// Owned is true while this daemon may serve the group.
	Owned bool
	// Term is the held or claimed term, otherwise the highest known term.
	Term uint64
	// Primary is the primary of Term; empty unless a majority granted Term.
	Primary string
	// Marker is the position of the first log entry of Term; valid while Owned.
	Marker logpos.Position
	// PromotionPoint is the end of the primary's log before its promotion in Term.
	PromotionPoint logpos.Position
	// ConfirmAfter is the time before which no write of Term may be confirmed.
	ConfirmAfter time.Time
	// LeaseStart is the latest time since which a majority has answered calls with
	// Term; see lease.Lease.Start.
	LeaseStart time.Time
	// InTransition is true while the primary or the owner is being replaced. Traffic must
	// hold new writes back meanwhile.
	InTransition bool
	// Endpoints holds the last known state of each endpoint, by address.
	Endpoints map[string]EndpointState
	// Owner is the known owner; its address is empty if none is known.
	Owner Owner
}

// State returns the current snapshot.
func (m *Machine) State() State {
	s := State{
		Phase:        m.phase,
		Owned:        m.phase == PhaseOwning,
		Term:         m.highestTerm,
		InTransition: m.holdsWrites(),
		Endpoints:    m.endpointStates(),
		Owner:        m.owner,
	}
	if m.phase.holdsTerm() {
		s.Term = m.term
		s.Primary = m.primary
		s.PromotionPoint = m.promotionPoint
		s.Marker = m.marker
		s.ConfirmAfter = m.confirmAfter
		s.LeaseStart = m.lease.Start(m.addresses())
	}
	return s
}

// holdsWrites reports whether traffic must hold new writes back.
func (m *Machine) holdsWrites() bool {
	switch m.phase {
	case PhaseOwning:
		return m.switchover.active || m.leaving
	case PhaseWatching, PhasePreVoting:
		return false
	default:
		return true
	}
}

func (m *Machine) endpointStates() map[string]EndpointState {
	states := make(map[string]EndpointState, len(m.records))
	for a, r := range m.records {
		states[a] = r.EndpointState
	}
	return states
}

// EqualIgnoringPolls reports whether two snapshots are the same except for what polls
// of an idle group change: LeaseStart, and the time and log positions of endpoints.
func (s State) EqualIgnoringPolls(o State) bool {
	// Each field is compared by hand, because reflection would take most of the time of
	// a step.
	return s.Phase == o.Phase && s.Owned == o.Owned && s.InTransition == o.InTransition &&
		s.Term == o.Term && s.Primary == o.Primary && s.Owner == o.Owner &&
		s.Marker == o.Marker && s.PromotionPoint == o.PromotionPoint && s.ConfirmAfter.Equal(o.ConfirmAfter) &&
		maps.EqualFunc(s.Endpoints, o.Endpoints, EndpointState.equalIgnoringPolls)
}

// Equal reports whether two snapshots are the same.
func (s State) Equal(o State) bool {
	return s.EqualIgnoringPolls(o) && s.LeaseStart.Equal(o.LeaseStart) && maps.Equal(s.Endpoints, o.Endpoints)
}

// OwnerAlive reports whether, as far as this daemon knows, the group has an owner or a
// claimant that is likely to become the owner. It is the answer to pre-votes.
func (m *Machine) OwnerAlive(now time.Time) bool {
	switch m.phase {
	case PhaseWatching, PhasePreVoting, PhaseSurveying:
		return now.Before(m.ownerTimeoutAt())
	case PhaseAdvancing:
		return !m.stalledAt(now) && now.Sub(m.attemptStartedAt) < AttemptTimeout
	default:
		return m.ShouldAnnounce(now)
	}
}

// ShouldAnnounce reports whether this daemon's heartbeats should name it as the group's
// owner: it holds the term, and its lease is valid or it has just claimed the next
// term. An owner that is cut off from the endpoints thus stops announcing itself, so
// that the candidates replace it.
func (m *Machine) ShouldAnnounce(now time.Time) bool {
	if m.stalledAt(now) {
		return false
	}
	switch m.phase {
	case PhasePromoting, PhaseAwaitingMarker, PhaseOwning:
		return m.lease.Valid(m.addresses(), now)
	case PhaseAdvancing:
		return m.reclaiming && now.Sub(m.attemptStartedAt) < AttemptTimeout
	default:
		return false
	}
}

// NeedsFastPolling reports whether the caller should run the next step within
// FastPollInterval.
func (m *Machine) NeedsFastPolling() bool {
	switch m.phase {
	case PhaseAdvancing, PhasePromoting, PhaseHandingOver:
		return true
	case PhaseAwaitingMarker:
		return m.lastStep.Sub(m.majorityAt) < MarkerFastPollTime
	default:
		return m.switchover.active
	}
}

// Idle reports whether this daemon neither owns nor claims the group.
func (m *Machine) Idle() bool { return m.phase == PhaseWatching }
