package admission

import "math"

// RetryBudget limits retries to a share of requests, so that retries cannot multiply
// the load of an overloaded group. It is a token bucket that requests fill; it is
// not safe for concurrent use.
type RetryBudget struct {
	// The fields are in tokenUnit parts of a retry.
	share, burst, tokens int64
}

// tokenUnit is the number of parts of one retry. Integers keep a share such as
// 0.1 from losing a retry to rounding.
const tokenUnit = 1_000_000

// NewRetryBudget returns a full RetryBudget. A share of 0.1 allows one retry for each ten
// requests; burst bounds the retries that may follow each other without new
// requests.
func NewRetryBudget(share, burst float64) *RetryBudget {
	full := int64(math.Round(burst * tokenUnit))
	return &RetryBudget{share: int64(math.Round(share * tokenUnit)), burst: full, tokens: full}
}

// CountRequest counts a request that is not a retry.
func (b *RetryBudget) CountRequest() { b.tokens = min(b.tokens+b.share, b.burst) }

// TryRetry takes a retry out of the budget; it returns false if none is left.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
