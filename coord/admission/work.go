// Package admission decides which statement of one group runs next and on which
// endpoint. It is a pure state machine with an explicit time.
package admission

import "time"

// Work is one statement or batch that waits for a slot.
type Work struct {
	// ID is unique among the work of one Scheduler.
	ID      uint64
	Session string
	// Fingerprint identifies statements of the same text but for their values.
	Fingerprint uint64
	// Priority orders work; higher first.
	Priority int
	// LongRunning marks work of a long class.
	LongRunning bool
	// ReadOnly work may run on a replica.
	ReadOnly bool
	Arrived  time.Time
	// Deadline is the time after which the work must not start.
	Deadline time.Time
	// Eligible reports whether the endpoint may run this work now. It is called
	// at dispatch, since floors and staleness change while work waits.
	Eligible func(endpoint string) bool
}

// Grant gives a slot of an endpoint to a piece of work.
type Grant struct {
	Work     Work
	Endpoint string
}

// Reason says why work was refused; it is the suffix of a counter name.
type Reason string

// Reasons of refusals by admission.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonExpectedWait Reason = "expected_wait"
)

// Refusal rejects work that was not started and will not be.
type Refusal struct {
	Work   Work
	Reason Reason
	// RetryAfter is a jittered hint for the caller.
	RetryAfter time.Duration
}

// Endpoint describes one endpoint to the scheduler.
type Endpoint struct {
	Name  string
	Slots int
	// Primary is true for the primary of the current term.
	Primary bool
	// Accepting is false while the endpoint is leaving, unreachable or ejected.
	Accepting bool
	// Distance is the round trip to the endpoint.
	Distance time.Duration
}

// Scheduler queues work and grants slots.
type Scheduler interface {
	// SetEndpoints replaces the endpoints. Slots that are held stay held.
	SetEndpoints(now time.Time, eps []Endpoint)
	// Enqueue queues the work, or refuses it at once.
	Enqueue(now time.Time, w Work) *Refusal
	// Dispatch returns the grants that can be given now, and the work whose deadline
	// has passed.
	Dispatch(now time.Time) ([]Grant, []Refusal)
	// Release frees the slot of a grant after the work ran for the given time.
	Release(now time.Time, g Grant, ran time.Duration, failed bool)
	// Remove takes waiting work out of the queue, and reports whether it waited.
	Remove(id uint64) bool
	// NextWake returns when Dispatch should be called again without another event; zero
	// if nothing waits.
	NextWake(now time.Time) time.Time
	// Len returns how much work waits.
	Len() int
}
