package owner

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// broadcast wakes all goroutines in waitForChange. The lock must be held.
func (g *group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// refuseQueued refuses all queued requests.
func (g *group) refuseQueued(r *refusal) {
	for id, ch := range g.queued {
		g.scheduler.Remove(id)
		delete(g.queued, id)
		ch <- admissionResult{refusal: r}
	}
}

// dispatch starts the queued requests that can run now and refuses those whose time
// has run out.
func (g *group) dispatch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatchLocked()
}

func (g *group) dispatchLocked() {
	now := time.Now()
	grants, refusals := g.scheduler.Dispatch(now)
	for _, r := range refusals {
		g.deliver(r.Work.ID, admissionResult{refusal: admissionRefusal(&r)})
	}
	for _, gr := range grants {
		if !g.deliver(gr.Work.ID, admissionResult{grant: gr}) {
			g.scheduler.Release(now, gr, 0, false)
		}
	}
	if wake := g.scheduler.NextWake(now); !wake.IsZero() {
		g.dispatchTimer.Reset(max(wake.Sub(now), time.Millisecond))
	}
}

// deliver sends the result to a queued request. It returns false if the request is no
// longer queued.
func (g *group) deliver(id uint64, result admissionResult) bool {
	ch, ok := g.queued[id]
	if !ok {
		return false
	}
	delete(g.queued, id)
	if result.refusal == nil {
		g.inFlight++
	}
	ch <- result
	return true
}

// releaseSlot frees the slot of a grant and records how the run went. It does nothing
// for a request that runs without a slot.
func (g *group) releaseSlot(gr admission.Grant, ran time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gr.Endpoint == "" {
		return
	}
	g.scheduler.Release(time.Now(), gr, ran, failed)
	if gr.Work.ReadOnly {
		g.health.Observe(gr.Endpoint, ran, g.updateMeanRunTime(gr.Work.Fingerprint, ran, failed), failed)
	}
	g.dispatchLocked()
}

// admissionRefusal converts a refusal of the scheduler.
func admissionRefusal(r *admission.Refusal) *refusal {
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
