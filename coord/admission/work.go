// Package admission decides which statement of one group runs next and on which
// endpoint. It is a pure state machine: the current time is an argument of each call.
package admission

import "time"

// Work is one statement or batch that waits for a slot.
type Work struct {
	// ID is unique among all work of one Scheduler.
	ID      uint64
	Session string
	// Fingerprint is the same for statements that differ only in their values.
	Fingerprint uint64
	// Priority orders work; higher first.
	Priority int
	// LongRunning marks work that is declared to be long.
	LongRunning bool
	// ReadOnly work may run on a replica.
	ReadOnly bool
	Arrived  time.Time
	// Deadline is the time after which the work must not start.
	Deadline time.Time
	// Eligible reports whether the endpoint may run this work now; nil allows all. It
	// is called at dispatch, since the position that the session must see and the
	// staleness of replicas change while work waits.
	Eligible func(endpoint string) bool
}

// Grant gives a slot of an endpoint to work.
type Grant struct {
	Work     Work
	Endpoint string
}

// Reason says why work was refused. It is the suffix of a counter name.
type Reason string

// Reasons for refusals.
const (
	ReasonDeadline     Reason = "deadline"
	ReasonExpectedWait Reason = "expected_wait"
)

// Refusal rejects work that did not start and will never start.
type Refusal struct {
	Work   Work
	Reason Reason
	// RetryAfter is a hint, with jitter, how long the caller should wait before it
	// retries.
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
	// Distance is the round-trip time to the endpoint.
	Distance time.Duration
}

// Scheduler queues work and grants slots.
type Scheduler interface {
	// SetEndpoints replaces the endpoints. Slots that are held stay held.
	SetEndpoints(now time.Time, eps []Endpoint)
	// Enqueue queues the work and returns nil, or refuses it.
	Enqueue(now time.Time, w Work) *Refusal
	// Dispatch returns the grants that can be given now, and the refusals of waiting
	// work that cannot run in time.
	Dispatch(now time.Time) ([]Grant, []Refusal)
	// Release frees the slot of a grant after the work ran for the given time.
	Release(now time.Time, g Grant, ran time.Duration, failed bool)
	// Remove removes waiting work, and reports whether it was waiting.
	Remove(id uint64) bool
	// NextWake returns when Dispatch should be called again if no other event comes
	// first; zero if there is no such time.
	NextWake(now time.Time) time.Time
	// Len returns the number of waiting Work items.
	Len() int
}
