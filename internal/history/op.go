// Package history records the operations of concurrent callers and checks them
// against the guarantees: confirmed bookings are stored exactly once, requests
// reported as not run did not run, sessions read their own writes, their reads are
// monotonic, and bookings of shared frames are linearizable.
//
// A frame is a resource that at most one booking can hold.
package history

import "time"

// Kind is the kind of an operation.
type Kind int

// Kinds of operations.
const (
	// Book inserts a booking. It fails if another booking holds its frame.
	Book Kind = iota
	// Lookup reads the highest sequence number among the session's bookings.
	Lookup
	// ReadHolder reads from the primary which booking holds a frame.
	ReadHolder
)

// Result is the outcome of an operation as the caller learned it.
type Result int

// Results of an operation.
const (
	// OK is a confirmed booking or an answered read.
	OK Result = iota
	// Taken is a booking that the database refused because another one holds the
	// frame.
	Taken
	// NotRun is a request that was reported as not run.
	NotRun
	// Unknown is a request whose outcome was reported as unknown, or whose
	// connection broke before the answer.
	Unknown
)

// Op is one operation of a caller.
type Op struct {
	Kind    Kind
	Session string
	// ID identifies a booking.
	ID string
	// Seq is the booking's number within its session, or the result of a Lookup.
	Seq int
	// Frame is the frame that was booked or read; empty for a booking without one.
	Frame string
	// Holder is the booking ID that a ReadHolder returned; empty if the frame is free.
	Holder string
	Result Result
	// Attempts is how often the request was sent; 0 means once.
	Attempts int
	// Reason is the reason that came with an error (the name of a counter), or the
	// text of an error without one.
	Reason string
	// Start and End are the times at which the operation started and returned.
	Start, End time.Time
}
