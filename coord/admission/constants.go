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
	// minRetryAfter and maxRetryAfter bound the retry hint before its jitter.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)
