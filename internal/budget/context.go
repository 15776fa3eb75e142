package budget

import "context"

// accountKey is the key of the account in a context.
type accountKey struct{}

// NewContext returns a context with the account that is charged for a call.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// FromContext returns the account that is charged for the call; nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(accountKey{}).(*Account)
	return a
}
