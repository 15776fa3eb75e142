package entry

import (
	"time"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// How long a retry waits for another owner before it goes to the same one again. The wait
// doubles with each attempt.
const (
	// dialRetryWait is the first wait if the owner could not be reached.
	dialRetryWait = 30 * time.Millisecond
	// ownerRetryWait is the first wait if the owner refused the request.
	ownerRetryWait = 200 * time.Millisecond
	maxRetryWait   = time.Second
)

// maxDoublings bounds the doubling of the wait, so that it does not overflow.
const maxDoublings = 6

// retryWait returns how long to wait after the given number of attempts, with jitter.
func retryWait(base time.Duration, attempts int) time.Duration {
	return jitter(min(base<<min(attempts, maxDoublings), maxRetryWait))
}

// retryReasons maps the reason of a refusal that another attempt may avoid to the counter of
// such retries.
var retryReasons = map[metrics.Name]metrics.Name{
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

// finalRefusals are the reasons of refusals that are not retried: another attempt would
// fail as well, or the refusal protects an owner from overload.
var finalRefusals = map[metrics.Name]bool{
	metrics.RefusedDeadline:        true,
	metrics.RefusedExpectedWait:    true,
	metrics.RefusedSessionState:    true,
	metrics.RefusedProtocol:        true,
	metrics.RefusedOversize:        true,
	metrics.RefusedTransactionLost: true,
	metrics.RefusedCanceled:        true,
}

// retryReasonFor returns the counter for retries after the refusal, or false if the refusal
// is final.
func retryReasonFor(reason metrics.Name) (metrics.Name, bool) {
	if finalRefusals[reason] {
		return "", false
	}
	if name, ok := retryReasons[reason]; ok {
		return name, true
	}
	return metrics.RetryOther, true
}
