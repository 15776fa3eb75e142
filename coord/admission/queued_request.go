package admission

import "time"

// QueuedRequest describes a request that waits for a connection, and defines the order
// in which such requests are served.
//
// At a peak all connections to the primary may be in use. If requests were served in
// the order of arrival, every caller would wait longer than its latency objective and
// all of the capacity would go to late answers. Requests that can still meet their
// objective therefore go first, and requests that would miss it are refused while the
// caller has time to try elsewhere.
type QueuedRequest struct {
	// Priority orders requests that can all meet their objective, or all miss it; 0 is
	// the highest.
	Priority int
	Arrived  time.Time
	// Objective is when the request should be answered, Deadline when an answer is no
	// longer of use. A zero Objective is never missed.
	Objective, Deadline time.Time
}

// maxWaitShare is the share of the time from arrival to deadline that a request may
// wait; the rest is left to its caller for another attempt.
const maxWaitShare = 0.5

// maxObjectiveShare is the share of the time left to the objective that the expected
// wait may take. With a share of 1, about half of the answers would be late.
const maxObjectiveShare = 0.6

// ObjectiveMissed reports whether an answer at the given time misses the objective.
func (r QueuedRequest) ObjectiveMissed(now time.Time) bool {
	return !r.Objective.IsZero() && now.After(r.Objective)
}

// TimeToObjective returns the time left to meet the objective; 0 means that there is
// no objective. It returns a microsecond for a request that has missed its objective,
// so that a host to which the request is forwarded also treats it as one that missed.
func (r QueuedRequest) TimeToObjective(now time.Time) time.Duration {
	if r.Objective.IsZero() {
		return 0
	}
	return max(r.Objective.Sub(now), time.Microsecond)
}

// Before reports whether r is served before the other request. Requests that have
// missed their objective go last.
func (r QueuedRequest) Before(other QueuedRequest, now time.Time) bool {
	if late := r.ObjectiveMissed(now); late != other.ObjectiveMissed(now) {
		return !late
	}
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	return r.Arrived.Before(other.Arrived)
}

// WaitDeadline returns the time until which the request may wait for a connection.
func (r QueuedRequest) WaitDeadline() time.Time {
	return r.Arrived.Add(time.Duration(maxWaitShare * float64(r.Deadline.Sub(r.Arrived))))
}

// ShouldRefuse reports whether a request that is expected to be answered after the wait
// should be refused, because it would probably miss its objective, or its deadline if
// it has missed the objective already.
func (r QueuedRequest) ShouldRefuse(now time.Time, wait time.Duration) bool {
	if now.Add(wait).After(r.Deadline) {
		return true
	}
	if r.Objective.IsZero() || r.ObjectiveMissed(now) {
		return false
	}
	return wait > time.Duration(maxObjectiveShare*float64(r.Objective.Sub(now)))
}
