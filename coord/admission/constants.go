package admission

import "time"

const (
	// eligibilityRecheckInterval is the time after which work that no free endpoint may
	// run is checked again. The scheduler is not told when a replica catches up.
	eligibilityRecheckInterval = 5 * time.Millisecond
	// maxProbes bounds how many waiting items are checked for one slot.
	maxProbes = 32
	// maxPrimaryReadProbes bounds how many of the reads that wait for the primary are
	// checked for one slot of a replica.
	maxPrimaryReadProbes = 8
	// waitMargin multiplies the expected wait before it is compared with the deadline:
	// shorter work that arrives later goes first, so that the real wait tends to be
	// longer than the expected one.
	waitMargin = 1.25
	// runMargin multiplies the expected run time before it is compared with the
	// deadline, because run times vary. Without it, 1,063 of 35,713 started statements
	// ended after their deadline in the simulation at 10 times the usual load.
	runMargin = 1.5
	// minRetryAfter and maxRetryAfter bound the retry hint before jitter is applied.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)
