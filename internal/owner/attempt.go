package owner

import "github.com/beryltrestle/beryltrestle/internal/metrics"

// attemptResult is the result of running a request once.
type attemptResult struct {
	// refusal is set if the caller gets an error of the proxy instead of the
	// database's answer.
	refusal *refusal
	// retryReason is set if the batch had no effect and may be repeated at once. It
	// names the counter of such retries.
	retryReason metrics.Name
	status      byte
}

func refused(r *refusal) *attemptResult { return &attemptResult{refusal: r} }
