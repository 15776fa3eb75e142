package owner

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// broadcast wakes everything that waits for a change.
func (g *group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *group) refuseWaiting(r *refusal) {
	for id, ch := range g.waiting {
		g.sched.Remove(id)
		delete(g.waiting, id)
		ch <- verdict{refusal: r}
	}
}

// pump gives the grants that are possible now.
func (g *group) pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pumpLocked()
}

func (g *group) pumpLocked() {
	now := time.Now()
	grants, refusals := g.sched.Dispatch(now)
	for _, r := range refusals {
		g.deliver(r.Work.ID, verdict{refusal: refusalOf(&r)})
	}
	for _, gr := range grants {
		if !g.deliver(gr.Work.ID, verdict{grant: gr}) {
			g.sched.Release(now, gr, 0, false)
		}
	}
	if wake := g.sched.NextWake(now); !wake.IsZero() {
		g.timer.Reset(max(wake.Sub(now), time.Millisecond))
	}
}

func (g *group) deliver(id uint64, v verdict) bool {
	ch, ok := g.waiting[id]
	if !ok {
		return false
	}
	delete(g.waiting, id)
	if v.refusal == nil {
		g.inFlight++
	}
	ch <- v
	return true
}

// release frees the slot of a grant, if it has one.
func (g *group) release(gr admission.Grant, ran time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gr.Endpoint == "" {
		return
	}
	g.sched.Release(time.Now(), gr, ran, failed)
	if gr.Work.ReadOnly {
		g.health.Observe(gr.Endpoint, ran, g.learn(gr.Work.Fingerprint, ran, failed), failed)
	}
	g.pumpLocked()
}

func refusalOf(r *admission.Refusal) *refusal {
	reason := metrics.RefusedDeadline
	msg := "the statement did not start before its deadline"
	if r.Reason == admission.ReasonExpectedWait {
		reason = metrics.RefusedExpectedWait
		msg = "the expected wait exceeds the statement's deadline"
	}
	out := notRun(reason, stateTooBusy, msg)
	out.retryAfter = r.RetryAfter
	return out
}
