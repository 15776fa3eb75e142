package measure

import (
	"context"
	"time"
)

// System is a running deployment under test.
type System interface {
	// Entries returns the addresses of the hosts that callers connect to.
	Entries() []string
	// FailPrimary cuts the pool's primary off from clients, hosts and replicas. The
	// returned function reconnects it.
	FailPrimary(ctx context.Context, pool string) (restore func(), err error)
	// SetReplicaLag sets the delay with which the pool's replicas apply log entries.
	SetReplicaLag(ctx context.Context, pool string, lag time.Duration) error
	// Counters returns each counter's sum over all daemons.
	Counters(ctx context.Context) (map[string]int64, error)
}
