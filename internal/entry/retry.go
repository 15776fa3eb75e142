package entry

import (
	"time"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Times that a retry waits for another owner before it asks the same one again.
// They double with each attempt.
const (
	dialPatience  = 30 * time.Millisecond
	ownerPatience = 200 * time.Millisecond
	maxPatience   = time.Second
)

// maxDoublings keeps the shift of a patience in range.
const maxDoublings = 6

// patience returns the jittered time of an attempt.
func patience(base time.Duration, attempts int) time.Duration {
	return jitter(min(base<<min(attempts, maxDoublings), maxPatience))
}

// retryNames gives the counter of each refusal that another attempt may avoid.
var retryNames = map[metrics.Name]metrics.Name{
	metrics.RefusedNotOwner:         metrics.RetryNotOwner,
	metrics.RefusedWrongIncarnation: metrics.RetryNotOwner,
	metrics.RefusedUnknownPool:      metrics.RetryNotOwner,
	metrics.RefusedDraining:         metrics.RetryNotOwner,
	metrics.RefusedNoOwner:          metrics.RetryNotOwner,
	metrics.RefusedLeaseExpired:     metrics.RetryLease,
	metrics.RefusedConnect:          metrics.RetryStaleConn,
	metrics.RefusedNeverRun:         metrics.RetryOwnerLost,
	metrics.UnknownTermChanged:      metrics.RetryPrimaryChanged,
	metrics.UnknownEndpointLost:     metrics.RetryPrimaryChanged,
}

// finalRefusals are the refusals that another attempt would not avoid, or that
// protect an owner from load.
var finalRefusals = map[metrics.Name]bool{
	metrics.RefusedDeadline:        true,
	metrics.RefusedExpectedWait:    true,
	metrics.RefusedSessionState:    true,
	metrics.RefusedProtocol:        true,
	metrics.RefusedOversize:        true,
	metrics.RefusedTransactionLost: true,
	metrics.RefusedCanceled:        true,
}

// retryName returns the counter of a retry; false if the refusal is final.
func retryName(reason metrics.Name) (metrics.Name, bool) {
	if finalRefusals[reason] {
		return "", false
	}
	if name, ok := retryNames[reason]; ok {
		return name, true
	}
	return metrics.RetryOther, true
}
