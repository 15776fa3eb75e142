package admission

import "math"

// Budget limits retries to a share of requests, so that retries cannot multiply
// the load of an overloaded group. It is a token bucket that requests fill; it is
// not safe for concurrent use.
type Budget struct {
	// The fields are in tokenUnit parts of a retry.
	share, burst, tokens int64
}

// tokenUnit is the number of parts of one retry. Integers keep a share such as
// 0.1 from losing a retry to rounding.
const tokenUnit = 1_000_000

// NewBudget returns a full Budget. A share of 0.1 allows one retry for each ten
// requests; burst bounds the retries that may follow each other without new
// requests.
func NewBudget(share, burst float64) *Budget {
	full := int64(math.Round(burst * tokenUnit))
	return &Budget{share: int64(math.Round(share * tokenUnit)), burst: full, tokens: full}
}

// Request counts a request that is not a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.share, b.burst) }

// Retry takes a retry out of the budget; it returns false if none is left.
func (b *Budget) Retry() bool {
	if b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}
