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

// admit queues the work and waits for its slot. On success the request counts
// as in flight until end is called.
func (g *group) admit(ctx context.Context, w admission.Work) (admission.Grant, *refusal) {
	ch := make(chan verdict, 1)
	id, ref := g.offer(w, ch)
	if ref != nil {
		return admission.Grant{}, ref
	}
	select {
	case v := <-ch:
		if v.refusal != nil {
			return admission.Grant{}, v.refusal
		}
		return v.grant, nil
	case <-ctx.Done():
		return g.abandon(id, ch)
	}
}

func (g *group) offer(w admission.Work, ch chan verdict) (uint64, *refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.view.Owned && !g.view.InTransition {
		return 0, notRun(metrics.RefusedNotOwner, stateCannotConnect, "this host does not own the pool")
	}
	g.nextID++
	w.ID = g.nextID
	g.waiting[w.ID] = ch
	if r := g.sched.Enqueue(time.Now(), w); r != nil {
		delete(g.waiting, w.ID)
		return 0, refusalOf(r)
	}
	g.pumpLocked()
	return w.ID, nil
}

// abandon takes work out of the queue whose caller has gone. The grant may have
// been given meanwhile; it is then returned.
func (g *group) abandon(id uint64, ch chan verdict) (admission.Grant, *refusal) {
	gone := notRun(metrics.RefusedDeadline, "57014", "the caller gave up")
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		g.sched.Remove(id)
		return admission.Grant{}, gone
	}
	v := <-ch
	if v.refusal == nil {
		g.inFlight--
		g.sched.Release(time.Now(), v.grant, 0, false)
		g.pumpLocked()
	}
	return admission.Grant{}, gone
}

// untilConfirm returns the time until writes of this term can be confirmed.
func (g *group) untilConfirm(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.ConfirmAfter.Sub(now)
}

// poolOf returns the connections to an endpoint in the current term.
func (g *group) poolOf(addr string) (*connPool, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[addr], g.term
}

func (g *group) isPrimary(addr string, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term == term && g.view.Primary == addr
}

func (g *group) coversFloor(term uint64, session string, pos logpos.Position) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return term == g.term && pos.Covers(g.floors.Floor(session))
}

// confirmationFor is the first check of the read lease, made after the request
// was received and before anything is read. It also records the end of the
// primary's log, which is before any commit of the request.
//
// A statement on the primary whose function may write counts as a write.
func (g *group) confirmationFor(r *request, term uint64, addr string) (confirmation, *refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term || !g.leaseValid(time.Now()) {
		return confirmation{}, notRun(metrics.RefusedLeaseExpired, stateCannotConnect, "the read lease has expired")
	}
	mayWrite := r.info.CallsUnknown && addr == g.view.Primary
	return confirmation{
		term:  term,
		write: outcomes.WriteBounds{Lower: g.primaryEnd},
		mode:  r.mode(),
		reads: r.info.ReadOnly && !r.info.Begins && !r.info.Ends && !mayWrite,
	}, nil
}

func (r *request) mode() manifest.Confirmation {
	if r.info.ReadOnly {
		return manifest.ConfirmReplicated
	}
	return r.write.Confirm
}
