package owner

import (
	"context"
	"time"
)

// drainPhase is the phase of a graceful stop.
type drainPhase int

const (
	// drainNone serves everything.
	drainNone drainPhase = iota
	// drainLong refuses new transactions, and serves other requests, until the
	// open transactions have ended. Short work is so not held up by long work.
	drainLong
	// drainAll starts nothing; requests wait in the queue for the next owner.
	drainAll
)

// drainPoll is how often Drain looks whether the work has ended.
const drainPoll = 5 * time.Millisecond

// Drain ends every request in flight. It returns when none is left, or with
// ctx's error. New requests then wait until the groups are handed over.
func (o *Owner) Drain(ctx context.Context) error {
	o.setDrain(drainLong)
	if err := waitUntil(ctx, func() bool { return o.openTransactions() == 0 }); err != nil {
		return err
	}
	o.setDrain(drainAll)
	return waitUntil(ctx, func() bool { return o.inFlight() == 0 })
}

func (o *Owner) setDrain(p drainPhase) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.drain = p
	for _, g := range o.groups {
		g.setDraining(p == drainAll)
	}
}

func (o *Owner) drainPhase() drainPhase {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drain
}

func (o *Owner) openTransactions() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.txs)
}

func (o *Owner) inFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, g := range o.groups {
		g.mu.Lock()
		n += g.inFlight
		g.mu.Unlock()
	}
	return n
}

func (g *group) setDraining(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = on
	g.sched.SetEndpoints(time.Now(), g.schedEndpoints(g.view))
	g.pumpLocked()
}

func waitUntil(ctx context.Context, cond func() bool) error {
	for !cond() {
		sleep(ctx, drainPoll)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}
