package entry

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// Limits of retries, so that they do not multiply the load on an overloaded owner.
const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxSavedRetries is the size of the token bucket. It covers the requests in flight
	// when an owner is lost.
	maxSavedRetries = 64
)

// retryBudget is a token bucket: each request adds to it, and each retry takes one token.
type retryBudget struct {
	mu     sync.Mutex
	budget *admission.RetryBudget
}

// newRetryBudget returns a full retryBudget.
func newRetryBudget() *retryBudget {
	return &retryBudget{budget: admission.NewRetryBudget(retriesPerRequest, maxSavedRetries)}
}

// countRequest adds retriesPerRequest to the budget.
func (b *retryBudget) countRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.CountRequest()
}

// tryRetry takes one retry from the budget. It returns false if none is left.
func (b *retryBudget) tryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry()
}
