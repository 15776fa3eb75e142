package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// confirmation describes what a finished batch waits for.
type confirmation struct {
	term  uint64
	write outcomes.WriteBounds
	mode  manifest.Confirmation
	// reads is true if the batch wrote nothing.
	reads bool
	// done is when the batch had ended on the endpoint.
	done time.Time
}

// await waits until the batch may be answered. It returns nil when the answer
// is confirmed, otherwise what to tell the caller instead.
func (g *group) await(ctx context.Context, c confirmation) *refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout())
	defer cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := false
	defer func() {
		if waiting {
			g.confirming--
		}
	}()
	for {
		ok, r := g.confirmed(time.Now(), c)
		if ok {
			return r
		}
		if !waiting {
			waiting = true
			g.confirming++
		}
		g.wantPolls()
		if !g.waitChange(ctx, g.retryAt(c)) {
			return c.timedOut()
		}
	}
}

// confirmed reports whether the wait is over, and with which result.
func (g *group) confirmed(now time.Time, c confirmation) (bool, *refusal) {
	if g.term != c.term {
		return true, g.resolve(c)
	}
	if !g.view.Owned {
		if !g.view.InTransition {
			return true, g.lost(c)
		}
		return false, nil
	}
	if _, superseded := g.tracker.Superseded(); superseded {
		return c.reads, g.lostRead(c)
	}
	if !g.leaseValid(now) {
		return false, nil
	}
	if c.mode == manifest.ConfirmPrimary {
		if g.tracker.LeaseStart().Before(c.done) {
			return false, nil
		}
	} else if !g.tracker.Received().Covers(c.write.Upper) {
		return false, nil
	}
	return g.mayAnswer(now, c), nil
}

// mayAnswer reports whether the previous owner's read lease has ended, or the
// batch saw nothing that a session could miss at the previous owner.
func (g *group) mayAnswer(now time.Time, c confirmation) bool {
	sawOldOnly := c.reads && g.view.Marker.Covers(c.write.Upper)
	return sawOldOnly || !now.Before(g.view.ConfirmAfter)
}

// leaseValid uses the polls of the control goroutine and those made for
// confirmations.
func (g *group) leaseValid(now time.Time) bool {
	v := g.view
	if g.tracker != nil && g.tracker.LeaseStart().After(v.LeaseStart) {
		v.LeaseStart = g.tracker.LeaseStart()
	}
	return v.LeaseValid(now) && v.Term == g.term
}

// resolve decides the outcome of a batch of an earlier term. Only this host's
// own next term tells where the log was cut.
func (g *group) resolve(c confirmation) *refusal {
	if c.reads {
		return notRun(metrics.RetryPrimaryChanged, stateSerialization, "the primary changed while the read was running")
	}
	if !g.view.Owned || g.view.PromotionPoint.IsZero() {
		return g.lost(c)
	}
	switch outcomes.Resolve(c.write, g.view.PromotionPoint) {
	case outcomes.Done:
		return nil
	case outcomes.NotRun:
		return notRun(metrics.RetryPrimaryChanged, stateSerialization, "the primary changed before the write was replicated")
	default:
		return unknown(metrics.UnknownTermChanged, "the primary changed while the write was being confirmed")
	}
}

func (g *group) lost(c confirmation) *refusal {
	if c.reads {
		return notRun(metrics.RefusedLeaseExpired, stateCannotConnect, "another host took over the pool")
	}
	return unknown(metrics.UnknownTermChanged, "another host took over the pool while the write was being confirmed")
}

// retryAt returns when a batch may be confirmed by time alone.
func (g *group) retryAt(c confirmation) time.Time {
	return g.view.ConfirmAfter
}

func (g *group) wantPolls() {
	for _, p := range g.pollers {
		p.want()
	}
}

// waitChange releases the lock until something changes or at passes. It
// returns false when ctx ended.
func (g *group) waitChange(ctx context.Context, at time.Time) bool {
	ch := g.changed
	var due <-chan time.Time
	if wait := time.Until(at); wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		due = t.C
	}
	g.mu.Unlock()
	defer g.mu.Lock()
	select {
	case <-ch:
		return true
	case <-due:
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitTerm waits until the group has entered a later term or is given up, for
// a batch whose connection broke, and returns the outcome.
func (g *group) awaitTerm(ctx context.Context, c confirmation) *refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.term == c.term && (g.view.Owned || g.view.InTransition) {
		if !g.waitChange(ctx, time.Time{}) {
			return unknown(metrics.UnknownEndpointLost, "the connection to the endpoint broke while the write was running")
		}
	}
	if g.term == c.term {
		return g.lost(c)
	}
	r := g.resolve(c)
	if r == nil {
		// Cannot happen: without an upper bound a write never resolves to done.
		return unknown(metrics.UnknownEndpointLost, "the endpoint's answer was lost")
	}
	return r
}

// raiseFloor makes the session's next read see p.
func (g *group) raiseFloor(term uint64, session string, p logpos.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term == g.term {
		g.floors.Raise(session, p)
	}
}

// lostRead returns the refusal of a read; a write waits for the next term.
func (g *group) lostRead(c confirmation) *refusal {
	if !c.reads {
		return nil
	}
	return g.lost(c)
}

func (c confirmation) timeout() time.Duration {
	if c.reads {
		return readHoldTimeout
	}
	return confirmTimeout
}

func (c confirmation) timedOut() *refusal {
	if c.reads {
		return notRun(metrics.RefusedLeaseExpired, stateCannotConnect, "a majority did not confirm what the read has seen")
	}
	return unknown(metrics.UnknownConfirmTimeout, "a majority did not confirm the write in time")
}
