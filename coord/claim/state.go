package claim

import (
	"maps"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// State is a snapshot of a Machine. Later steps don't change it.
type State struct {
	Phase Phase
	// Owned is true while this daemon may serve the group.
	Owned bool
	// Term is the held or claimed term, otherwise the highest one seen.
	Term uint64
	// Primary is the primary of Term while a term is held.
	Primary string
	// Marker is the first log entry of Term, while Owned.
	Marker logpos.Position
	// PromotionPoint is the end of the log that the primary started Term from.
	PromotionPoint logpos.Position
	// ConfirmAfter is the time before which no write of Term is confirmed.
	ConfirmAfter time.Time
	// LeaseStart is the start of the latest polls that a majority answered with
	// Term.
	LeaseStart time.Time
	// InTransition is true while new writes are to be held back, because the primary
	// or the owner is being replaced.
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
		Term:         m.highest,
		InTransition: m.changing(),
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

// changing reports whether new writes are to be held back.
func (m *Machine) changing() bool {
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

// EqualIgnoringPolls reports whether two snapshots differ at most in what polls change
// while nothing happens: the lease's start, and the time and log positions of
// endpoints.
func (s State) EqualIgnoringPolls(o State) bool {
	// Field by field, because reflection takes most of the time of a step.
	return s.Phase == o.Phase && s.Owned == o.Owned && s.InTransition == o.InTransition &&
		s.Term == o.Term && s.Primary == o.Primary && s.Owner == o.Owner &&
		s.Marker == o.Marker && s.PromotionPoint == o.PromotionPoint && s.ConfirmAfter.Equal(o.ConfirmAfter) &&
		maps.EqualFunc(s.Endpoints, o.Endpoints, EndpointState.similar)
}

// Equal reports whether two snapshots are the same.
func (s State) Equal(o State) bool {
	return s.EqualIgnoringPolls(o) && s.LeaseStart.Equal(o.LeaseStart) && maps.Equal(s.Endpoints, o.Endpoints)
}

// OwnerAlive reports whether, from this daemon's point of view, the group has an
// owner or a claimant that is likely to become one. It answers pre-votes.
func (m *Machine) OwnerAlive(now time.Time) bool {
	switch m.phase {
	case PhaseWatching, PhasePreVoting, PhaseSurveying:
		return now.Before(m.suspectAt())
	case PhaseAdvancing:
		return !m.stalledBy(now) && now.Sub(m.attemptAt) < AttemptTimeout
	default:
		return m.ShouldAnnounce(now)
	}
}

// ShouldAnnounce reports whether heartbeats name this daemon as the group's owner:
// it holds the term, and its lease or its claim is current. An owner that is
// cut off from the endpoints thus stops its heartbeats and is replaced.
func (m *Machine) ShouldAnnounce(now time.Time) bool {
	if m.stalledBy(now) {
		return false
	}
	switch m.phase {
	case PhasePromoting, PhaseAwaitingMarker, PhaseOwning:
		return m.lease.Valid(m.addresses(), now)
	case PhaseAdvancing:
		return m.reclaiming && now.Sub(m.attemptAt) < AttemptTimeout
	default:
		return false
	}
}

// NeedsFastPolling reports whether the next step is due within FastPollInterval.
func (m *Machine) NeedsFastPolling() bool {
	switch m.phase {
	case PhaseAdvancing, PhasePromoting, PhaseHandingOver:
		return true
	case PhaseAwaitingMarker:
		return m.lastStep.Sub(m.majorityAt) < MarkerPatience
	default:
		return m.switchover.active
	}
}

// Idle reports whether the daemon has no part in the group any more.
func (m *Machine) Idle() bool { return m.phase == PhaseWatching }
