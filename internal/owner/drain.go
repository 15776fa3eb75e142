package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// drainPoll is how often a drain looks whether the work has ended.
const drainPoll = 2 * time.Millisecond

// Drain refuses new transactions and returns when the open ones have ended, or
// with ctx's error. Other requests are served meanwhile, so that one long
// transaction does not hold them up before the groups are handed over.
func (o *Owner) Drain(ctx context.Context) error {
	o.mu.Lock()
	o.draining = true
	o.mu.Unlock()
	return waitUntil(ctx, func() bool { return o.openTransactions("") == 0 })
}

// WaitPoolIdle returns when no request of the pool is in flight, or ctx ends. The
// control view holds new requests back meanwhile.
func (o *Owner) WaitPoolIdle(ctx context.Context, pool string) {
	// Without the View that holds requests back, some could start after the last
	// one in flight has ended.
	o.applyView()
	_ = waitUntil(ctx, func() bool { return o.openTransactions(pool) == 0 && o.inFlight(pool) == 0 })
}

func (o *Owner) isDraining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.draining
}

// openTransactions counts the open transactions of a pool, of all if empty.
func (o *Owner) openTransactions(pool string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, t := range o.txs {
		if pool == "" || t.g.name == pool {
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
		wait.Sleep(ctx, drainPoll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}
