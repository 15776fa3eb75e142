package measure

import (
	"fmt"
	"time"
)

// Values of the comment /* kind=... */ in statements.
const (
	kindBooking   = "booking"
	kindLookup    = "lookup"
	kindLedger    = "ledger"
	kindLedgerNow = "ledger_now"
)

const (
	// shortDeadline is the time within which short work counts as goodput.
	shortDeadline = time.Second
	// shortStart is the time within which short work must start: callers wait for
	// shortDeadline, of which running, confirming and the way back need a part.
	shortStart   = 800 * time.Millisecond
	longDeadline = 30 * time.Second
	// longWork is how long a ledger reconciliation holds its slot.
	longWork = time.Second
)

// Job is one request that is due at a fixed time.
type Job struct {
	// At is the time from the start of the run at which the request is due.
	At time.Duration
	// Phase is the index of the phase that the job belongs to.
	Phase int
	Kind  string
	Pool  int
	// Session is the index of the session within the pool.
	Session int
	// Sequence numbers the bookings of a run from 1; 0 for other kinds.
	Sequence int
	// Move makes the session use another entry from this request on.
	Move bool
}

func (j Job) long() bool { return j.Kind == kindLedger || j.Kind == kindLedgerNow }

func (j Job) deadline() time.Duration {
	if j.long() {
		return longDeadline
	}
	return shortDeadline
}

// id identifies the booking of the job.
func (j Job) id(run string) string { return fmt.Sprintf("%s-%d", run, j.Sequence) }
