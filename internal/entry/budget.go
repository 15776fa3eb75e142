package entry

import "sync"

// Limits of retries, so that retries don't multiply the load of an owner that
// is short of capacity.
const (
	// retryShare is the number of retries that each request earns.
	retryShare = 0.1
	// retryBurst is the largest number of retries that can be saved up; it covers
	// the requests in flight when an owner is lost.
	retryBurst = 64
)

// retryBudget is a token bucket that is filled by requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget { return &retryBudget{tokens: retryBurst} }

// earn adds the share of one request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// spend takes one retry; false if none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
