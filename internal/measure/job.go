package measure

import (
	"fmt"
	"time"
)

// Kinds of requests, which statements carry in a comment /* kind=... */.
const (
	kindBooking   = "booking"
	kindLookup    = "lookup"
	kindLedger    = "ledger"
	kindLedgerNow = "ledger_now"
)

const (
	// shortDeadline is the time within which a short request must be answered to
	// count as goodput.
	shortDeadline = time.Second
	// shortStartDeadline is the time within which a short statement must start. The
	// rest of shortDeadline is left for running and confirming the statement and
	// for the answer's way to the caller.
	shortStartDeadline = 800 * time.Millisecond
	longDeadline       = 30 * time.Second
	// longServiceTime is how long a long statement holds its slot.
	longServiceTime = time.Second
)

// Job is one request that is due at a fixed time. Its fields enter the digest of
// the offered work under their names, so their names must not change.
type Job struct {
	// At is the time from the start of the run at which the request is due.
	At time.Duration
	// Phase is the index of the job's phase.
	Phase int
	Kind  string
	Pool  int
	// Session is the index of the session within the pool.
	Session int
	// Sequence is the number of a booking within the run, starting at 1. It is 0
	// for other kinds.
	Sequence int
	// Move makes the session switch to another host before this request.
	Move bool
}

func (j Job) long() bool { return j.Kind == kindLedger || j.Kind == kindLedgerNow }

func (j Job) deadline() time.Duration {
	if j.long() {
		return longDeadline
	}
	return shortDeadline
}

// bookingID returns the ID under which the job's booking is stored.
func (j Job) bookingID(runID string) string { return fmt.Sprintf("%s-%d", runID, j.Sequence) }
