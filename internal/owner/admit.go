package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// admit queues the work and waits until the scheduler grants it a slot. On
// success the request counts as in flight until endRequest is called.
func (g *group) admit(ctx context.Context, w admission.Work) (admission.Grant, *refusal) {
	ch := make(chan admissionResult, 1)
	id, ref := g.enqueue(w, ch)
	if ref != nil {
		return admission.Grant{}, ref
	}
	select {
	case result := <-ch:
		if result.refusal != nil {
			return admission.Grant{}, result.refusal
		}
		return result.grant, nil
	case <-ctx.Done():
		return g.cancelQueued(id, ch)
	}
}

// enqueue queues the work and returns its ID. The result is sent to ch.
func (g *group) enqueue(w admission.Work, ch chan admissionResult) (uint64, *refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.view.Owned && !g.view.InTransition {
		return 0, notRun(metrics.RefusedNotOwner, stateCannotConnectNow, "this host does not own the pool")
	}
	g.nextID++
	w.ID = g.nextID
	g.queued[w.ID] = ch
	if r := g.scheduler.Enqueue(time.Now(), w); r != nil {
		delete(g.queued, w.ID)
		return 0, admissionRefusal(r)
	}
	g.dispatchLocked()
	return w.ID, nil
}

// cancelQueued removes the work of a caller that gave up from the queue. If the
// scheduler has granted a slot in the meantime, the slot is released.
func (g *group) cancelQueued(id uint64, ch chan admissionResult) (admission.Grant, *refusal) {
	canceled := notRun(metrics.RefusedDeadline, "57014", "the caller gave up")
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.queued[id]; ok {
		delete(g.queued, id)
		g.scheduler.Remove(id)
		return admission.Grant{}, canceled
	}
	result := <-ch
	if result.refusal == nil {
		g.inFlight--
		g.scheduler.Release(time.Now(), result.grant, 0, false)
		g.dispatchLocked()
	}
	return admission.Grant{}, canceled
}

// timeUntilConfirmable returns how long it takes until writes of this term can be
// confirmed; it is negative once they can.
func (g *group) timeUntilConfirmable(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.ConfirmAfter.Sub(now)
}

// connPoolFor returns the connection pool of an endpoint, nil if the endpoint is
// not in the group, and the current term.
func (g *group) connPoolFor(addr string) (*connPool, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[addr], g.term
}

func (g *group) isPrimary(addr string, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.view.Primary == addr
}

// coversFloor reports whether pos contains everything that the session's reads
// must see.
func (g *group) coversFloor(term uint64, session string, pos logpos.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return term == g.term && pos.Covers(g.floors.Floor(session))
}

// newConfirmation checks the read lease for the first time, after the request was
// received and before anything is read. It also records the current end of the
// primary's log, as a lower bound for the position of the request's commit.
//
// A statement that calls a function which may write counts as a write if it runs
// on the primary.
func (g *group) newConfirmation(r *request, term uint64, addr string) (confirmation, *refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term || !g.leaseValid(time.Now()) {
		return confirmation{}, notRun(metrics.RefusedLeaseExpired, stateCannotConnectNow, "the read lease has expired")
	}
	mayWrite := r.info.CallsUnknownFunction && addr == g.view.Primary
	return confirmation{
		term:     term,
		write:    outcomes.WriteBounds{Lower: g.primaryEnd},
		mode:     r.confirmMode(),
		readOnly: r.info.ReadOnly && !r.info.BeginsTransaction && !r.info.EndsTransaction && !mayWrite,
	}, nil
}

func (r *request) confirmMode() manifest.Confirmation {
	if r.info.ReadOnly {
		return manifest.ConfirmReplicated
	}
	return r.writeKind.Confirm
}
