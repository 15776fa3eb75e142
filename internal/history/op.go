// Package history records the operations of concurrent callers and checks them
// against the guarantees: confirmed bookings are kept exactly once, requests
// reported as not run did not run, sessions read their own writes and never go
// back, and bookings of shared frames are linearizable.
package history

import "time"

// Kind is the kind of an operation.
type Kind int

// Kinds of operations.
const (
	// Book inserts a booking. Frames are unique, so a second booking fails.
	Book Kind = iota
	// Lookup reads the highest sequence number that the session has booked.
	Lookup
	// Holder reads who holds a frame, on the primary.
	Holder
)

// Result is what the caller was told.
type Result int

// Results of an operation.
const (
	// OK is a confirmed booking or an answered read.
	OK Result = iota
	// Taken is a booking refused by the database since the frame is held.
	Taken
	// NotRun is a request reported as not run.
	NotRun
	// Unknown is a request whose outcome was reported as unknown, or whose
	// connection broke.
	Unknown
)

// Op is one operation of a caller.
type Op struct {
	Kind    Kind
	Session string
	// ID identifies a booking.
	ID string
	// Seq is the booking's number within its session, or what a Lookup returned.
	Seq int
	// Frame is the booked or read frame; empty if the booking shares none.
	Frame string
	// Holder is the booking ID that a Holder read returned; empty if none.
	Holder string
	Result Result
	// Attempts is how often the request was sent; 0 means once.
	Attempts int
	// Reason is the counter name that the caller was given with a refusal.
	Reason string
	// Start and End are the times of call and return.
	Start, End time.Time
}
