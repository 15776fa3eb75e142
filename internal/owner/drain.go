package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// drainPollInterval is how often a drain checks whether the work has ended.
const drainPollInterval = 2 * time.Millisecond

// Drain refuses new transactions and waits until the open ones have ended. It returns
// ctx's error if ctx ends first. Other requests are still served, so that one long
// transaction does not block them until the groups are handed over.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	return waitUntil(ctx, func() bool { return o.openTransactions("") == 0 })
}

// WaitPoolIdle waits until no request of the pool is in flight and none of its
// transactions is open, or ctx ends. The control View must already hold new requests
// back.
func (o *Owner) WaitPoolIdle(ctx context.Context, pool string) {
	// Apply the View that holds requests back; otherwise new ones could start after
	// the last one in flight has ended.
	o.applyView()
	_ = waitUntil(ctx, func() bool { return o.openTransactions(pool) == 0 && o.inFlight(pool) == 0 })
}

func (o *Owner) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// openTransactions counts the open transactions of a pool, or of all pools if pool is
// empty.
func (o *Owner) openTransactions(pool string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, t := range o.transactions {
		if pool == "" || t.group.name == pool {
			n++
		}
	}
	return n
}

func (o *Owner) inFlight(pool string) int {
	o.mu.Lock()
	g := o.groups[pool]
	o.mu.Unlock()
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

func waitUntil(ctx context.Context, cond func() bool) error {
	for !cond() {
		wait.Sleep(ctx, drainPollInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}
