package entry

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

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
	budget *admission.RetryBudget
}

// newRetryBudget returns a full budget.
func newRetryBudget() *retryBudget {
	return &retryBudget{budget: admission.NewRetryBudget(retryShare, retryBurst)}
}

// earn adds the share of one request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest()
}

// spend takes one retry; false if none is left.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry()
}
