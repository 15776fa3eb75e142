package measure

import (
	"context"
	"time"
)

// System is a running deployment under test.
type System interface {
	// Entries returns the addresses that callers connect to.
	Entries() []string
	// FailPrimary cuts the pool's primary off from everyone, and returns a
	// function that ends the cut.
	FailPrimary(ctx context.Context, pool string) (restore func(), err error)
	// SetReplicaLag makes the replicas of the pool apply their log late.
	SetReplicaLag(ctx context.Context, pool string, lag time.Duration) error
	// Counters returns the daemons' counters, added up over all daemons.
	Counters(ctx context.Context) (map[string]int64, error)
}
