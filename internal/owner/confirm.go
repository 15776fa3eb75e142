package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// confirmation describes what must be confirmed before the answer to a batch may be
// sent.
type confirmation struct {
	term  uint64
	write outcomes.WriteBounds
	mode  manifest.Confirmation
	// readOnly is true if the batch wrote nothing.
	readOnly bool
	// finishedAt is when the endpoint's answer to the batch was complete.
	finishedAt time.Time
}

// awaitConfirmation waits until the batch may be answered. It returns nil when the
// answer is confirmed, otherwise the error that the caller gets instead.
func (g *group) awaitConfirmation(ctx context.Context, c confirmation) *refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout())
	defer cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := false
	defer func() {
		if waiting {
			g.pendingConfirmations--
		}
	}()
	for {
		ok, r := g.checkConfirmation(time.Now(), c)
		if ok {
			return r
		}
		if !waiting {
			waiting = true
			g.pendingConfirmations++
		}
		g.requestPolls()
		if !g.waitForChange(ctx, g.confirmableAt(c)) {
			return c.timeoutRefusal()
		}
	}
}

// checkConfirmation reports whether the wait for the confirmation is over. A nil
// refusal then means that the answer is confirmed.
func (g *group) checkConfirmation(now time.Time, c confirmation) (bool, *refusal) {
	if g.term != c.term {
		return true, g.resolveOutcome(c)
	}
	if !g.view.Owned {
		if !g.view.InTransition {
			return true, g.ownershipLost(c)
		}
		return false, nil
	}
	if _, superseded := g.tracker.Superseded(); superseded {
		return c.readOnly, g.refuseIfRead(c)
	}
	if !g.leaseValid(now) {
		return false, nil
	}
	if c.mode == manifest.ConfirmPrimary {
		// Wait until a majority has answered, to polls that started after the end of
		// the batch, that the term is unchanged.
		if g.tracker.LeaseStart().Before(c.finishedAt) {
			return false, nil
		}
	} else if !g.tracker.Received().Covers(c.write.Upper) {
		return false, nil
	}
	return g.mayAnswer(now, c), nil
}

// mayAnswer reports whether the previous owner's read lease has ended, or the batch
// read only data of earlier terms. In both cases, a later read of the session at the
// previous owner cannot miss anything that the session has seen here.
func (g *group) mayAnswer(now time.Time, c confirmation) bool {
	readsEarlierTerms := c.readOnly && g.view.Marker.Covers(c.write.Upper)
	return readsEarlierTerms || !now.Before(g.view.ConfirmAfter)
}

// leaseValid reports whether the read lease of the current term is valid. Both the
// polls of the control goroutine and those made for confirmations renew it.
func (g *group) leaseValid(now time.Time) bool {
	v := g.view
	if g.tracker != nil && g.tracker.LeaseStart().After(v.LeaseStart) {
		v.LeaseStart = g.tracker.LeaseStart()
	}
	return v.LeaseValid(now) && v.Term == g.term
}

// resolveOutcome returns the outcome of a batch of an earlier term, nil if it ran
// and its effects are kept. Only if this daemon also owns the next term does it know
// at which position the log was truncated.
func (g *group) resolveOutcome(c confirmation) *refusal {
	if c.readOnly {
		return notRun(metrics.RetryPrimaryChanged, stateSerialization, "the primary changed while the read was running")
	}
	if !g.view.Owned || g.view.PromotionPoint.IsZero() {
		return g.ownershipLost(c)
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

// ownershipLost returns the refusal of a batch whose group another host took over.
func (g *group) ownershipLost(c confirmation) *refusal {
	if c.readOnly {
		return notRun(metrics.RefusedLeaseExpired, stateCannotConnectNow, "another host took over the pool")
	}
	return unknown(metrics.UnknownTermChanged, "another host took over the pool while the write was being confirmed")
}

// confirmableAt returns the time from which batches of this term may be confirmed.
// A waiting batch is checked again then, even if nothing else has changed.
func (g *group) confirmableAt(c confirmation) time.Time {
	return g.view.ConfirmAfter
}

// requestPolls starts polling all endpoints, until no confirmation is pending.
func (g *group) requestPolls() {
	for _, p := range g.pollers {
		p.requestPoll()
	}
}

// waitForChange releases the lock until broadcast is called or the time at is
// reached. It returns false if ctx ended.
func (g *group) waitForChange(ctx context.Context, at time.Time) bool {
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

// awaitNextTerm returns the outcome of a batch whose connection to the primary
// broke. It waits until the group enters a later term or this daemon loses it.
func (g *group) awaitNextTerm(ctx context.Context, c confirmation) *refusal {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.term == c.term && (g.view.Owned || g.view.InTransition) {
		if !g.waitForChange(ctx, time.Time{}) {
			return unknown(metrics.UnknownEndpointLost, "the connection to the endpoint broke while the write was running")
		}
	}
	if g.term == c.term {
		return g.ownershipLost(c)
	}
	r := g.resolveOutcome(c)
	if r == nil {
		// Unreachable: a write without an upper bound never resolves to done.
		return unknown(metrics.UnknownEndpointLost, "the endpoint's answer was lost")
	}
	return r
}

// raiseFloor makes sure that later reads of the session see everything up to p.
func (g *group) raiseFloor(term uint64, session string, p logpos.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term == g.term {
		g.floors.Raise(session, p)
	}
}

// refuseIfRead returns a refusal for a read and nil for a write, which waits for the
// next term instead.
func (g *group) refuseIfRead(c confirmation) *refusal {
	if !c.readOnly {
		return nil
	}
	return g.ownershipLost(c)
}

func (c confirmation) timeout() time.Duration {
	if c.readOnly {
		return readConfirmTimeout
	}
	return confirmTimeout
}

// timeoutRefusal returns the refusal of a batch that was not confirmed in time.
func (c confirmation) timeoutRefusal() *refusal {
	if c.readOnly {
		return notRun(metrics.RefusedLeaseExpired, stateCannotConnectNow, "a majority did not confirm what the read has seen")
	}
	return unknown(metrics.UnknownConfirmTimeout, "a majority did not confirm the write in time")
}
