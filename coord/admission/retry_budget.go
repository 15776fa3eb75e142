package admission

import "math"

// RetryBudget limits retries to a share of the requests, so that retries cannot
// multiply the load of an overloaded group. It is a token bucket: each request adds
// tokens and each retry takes some. It is not safe for concurrent use.
type RetryBudget struct {
	tokensPerRequest, maxTokens, tokens int64
}

// tokensPerRetry is what one retry costs. Tokens are integers, because sums of a
// floating-point share such as 0.1 would lose retries to rounding.
const tokensPerRetry = 1_000_000

// NewRetryBudget returns a full RetryBudget. A share of 0.1 allows one retry for
// each ten requests; burst is the largest number of retries without a request in
// between.
func NewRetryBudget(share, burst float64) *RetryBudget {
	full := int64(math.Round(burst * tokensPerRetry))
	return &RetryBudget{tokensPerRequest: int64(math.Round(share * tokensPerRetry)), maxTokens: full, tokens: full}
}

// CountRequest adds the tokens of one request that is not a retry.
func (b *RetryBudget) CountRequest() { b.tokens = min(b.tokens+b.tokensPerRequest, b.maxTokens) }

// TryRetry takes the tokens of one retry. It returns false, and takes nothing, if
// too few are left.
func (b *RetryBudget) TryRetry() bool {
	if b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
