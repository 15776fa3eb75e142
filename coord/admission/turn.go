package admission

import "time"

// QueuedRequest is the place of a piece of work among others that wait for the same
// connections.
//
// Load: a crest at which the primary's slots run out. In order of arrival every
// caller waits longer than its latency objective, so that all of the capacity goes
// to answers that come late. Work that can still meet its objective goes first, and
// work that would miss it is refused while its caller has time to go elsewhere.
type QueuedRequest struct {
	// Priority orders work of equal standing; 0 is the highest.
	Priority int
	Arrived  time.Time
	// Objective is when the work should be answered; Deadline is when its answer is
	// worth nothing any more. A zero Objective is never missed.
	Objective, Deadline time.Time
}

// heldShare is the part of its time that work may wait before it is given up: the
// rest is left to its caller for another attempt.
const heldShare = 0.5

// admitShare is the part of the time left to the objective that the expected wait may
// take. Waits at the full objective would make about half of the answers late.
const admitShare = 0.6

// ObjectiveMissed reports whether the objective is missed at the time.
func (t QueuedRequest) ObjectiveMissed(now time.Time) bool {
	return !t.Objective.IsZero() && now.After(t.Objective)
}

// TimeToObjective returns the time left to meet the objective, at least a microsecond, so that
// work which has missed it stays late elsewhere; 0 means that there is no objective.
func (t QueuedRequest) TimeToObjective(now time.Time) time.Duration {
	if t.Objective.IsZero() {
		return 0
	}
	return max(t.Objective.Sub(now), time.Microsecond)
}

// Before reports whether t goes before the other at the time. Late work goes last.
func (t QueuedRequest) Before(other QueuedRequest, now time.Time) bool {
	if late := t.ObjectiveMissed(now); late != other.ObjectiveMissed(now) {
		return !late
	}
	if t.Priority != other.Priority {
		return t.Priority < other.Priority
	}
	return t.Arrived.Before(other.Arrived)
}

// WaitDeadline returns until when the work may wait for a connection.
func (t QueuedRequest) WaitDeadline() time.Time {
	return t.Arrived.Add(time.Duration(heldShare * float64(t.Deadline.Sub(t.Arrived))))
}

// ShouldRefuse reports whether work that is expected to be answered after the wait should
// be refused: it would probably miss its objective, or its deadline if it is late
// already.
func (t QueuedRequest) ShouldRefuse(now time.Time, wait time.Duration) bool {
	if now.Add(wait).After(t.Deadline) {
		return true
	}
	if t.Objective.IsZero() || t.ObjectiveMissed(now) {
		return false
	}
	return wait > time.Duration(admitShare*float64(t.Objective.Sub(now)))
}
