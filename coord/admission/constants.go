package admission

import "time"

const (
	// eligibilityRecheck is the time after which work that no free endpoint could
	// run is checked again; replicas move on without an event.
	eligibilityRecheck = 5 * time.Millisecond
	// maxProbes bounds the waiting work that is checked for one slot.
	maxProbes = 32
	// maxPinnedProbes bounds the reads that wait for the primary and are checked
	// again for a free slot of a replica.
	maxPinnedProbes = 8
	// waitMargin is the factor by which the expected wait is raised before it is
	// compared with the deadline: shorter work that arrives later goes first, so
	// the wait is rather longer than expected.
	waitMargin = 1.25
	// runMargin is the factor by which the expected run time is raised before it
	// is compared with the deadline. Run times vary; without it, 1,063 of 35,713
	// started statements ended late in the simulation at 10 times the usual load.
	runMargin = 1.5
	// minRetryAfter and maxRetryAfter bound the retry hint before its jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)
