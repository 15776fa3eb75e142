package admission

// Budget limits retries to a share of requests, so that retries cannot multiply
// the load of an overloaded group. It is a token bucket that requests fill; it is
// not safe for concurrent use.
type Budget struct {
	share  float64
	burst  float64
	tokens float64
}

// NewBudget returns a full Budget. A share of 0.1 allows one retry for each ten
// requests; burst bounds the retries that may follow each other without new
// requests.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Request counts a request that is not a retry.
func (b *Budget) Request() { b.tokens = min(b.tokens+b.share, b.burst) }

// Retry takes a retry out of the budget; it returns false if none is left.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
