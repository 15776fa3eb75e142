package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
	"github.com/beryltrestle/beryltrestle/internal/statement"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// request is one request from its arrival to its outcome.
type request struct {
	o       *Owner
	req     *peerv1.Request
	id      outcomes.ID
	w       peer.AnswerWriter
	arrived time.Time

	g    *group
	info statement.Info
	// read and write are the kinds that apply; class bounds the wait.
	read  manifest.ReadKind
	write manifest.WriteKind
	class manifest.Class
	out   output
	// primaryOnly is set after a replica refused a statement that writes.
	primaryOnly bool
}

func (r *request) run(ctx context.Context) *peerv1.Answer {
	a := r.prepare()
	if a == nil {
		if len(r.req.GetTransactionId()) > 0 {
			a = r.inTransaction(ctx)
		} else {
			a = r.repeat(ctx)
		}
	}
	if a.refusal != nil {
		r.o.cfg.Metrics.Inc(a.refusal.reason)
		end := a.refusal.answer(r.o.location(r.req.GetPool()))
		end.TransactionStatus = "I"
		return end
	}
	r.out.flush()
	return &peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: string(a.status)}
}

// prepare finds the group and the rules that apply.
func (r *request) prepare() *attempt {
	r.out.w = r.w
	r.o.mu.Lock()
	r.g = r.o.groups[r.req.GetPool()]
	r.o.mu.Unlock()
	if r.g == nil {
		return refused(notRun(metrics.RefusedNotOwner, stateCannotConnect, "this host does not own the pool"))
	}
	info, err := statement.Classify(r.req.GetBatch())
	if err != nil {
		return refused(notRun(metrics.RefusedProtocol, "08P01", err.Error()))
	}
	if info.SessionState != "" {
		msg := "session state cannot be kept through the proxy: " + info.SessionState
		return refused(notRun(metrics.RefusedSessionState, stateFeatureUnsupported, msg))
	}
	if len(info.Unresolved) > 0 {
		// The connection may hold another caller's statement of that name.
		return refused(notRun(metrics.RefusedProtocol, "26000", "the batch uses a prepared statement that it does not parse"))
	}
	r.info = info
	r.g.mu.Lock()
	rules := r.g.rules
	r.g.mu.Unlock()
	if rules == nil {
		return refused(notRun(metrics.RefusedUnknownPool, "3D000", "the pool is not configured"))
	}
	r.read = rules.Read(info)
	r.write = rules.Write(info)
	r.class = rules.Class(info)
	return nil
}

// repeat runs the request until it has an outcome. Only a request that did not
// run is repeated.
func (r *request) repeat(ctx context.Context) *attempt {
	for n := 1; ; n++ {
		a := r.attempt(ctx)
		if a.again == "" || n == maxAttempts || r.out.streaming || ctx.Err() != nil {
			return a
		}
		r.o.cfg.Metrics.Inc(a.again)
		r.out.reset()
	}
}

// attempt waits for a slot and runs the batch once.
func (r *request) attempt(ctx context.Context) *attempt {
	if r.info.Begins && r.o.isDraining() {
		return refused(notRun(metrics.RefusedDraining, stateCannotConnect, "the host is leaving"))
	}
	grant, ref := r.admit(ctx)
	if ref != nil {
		return refused(ref)
	}
	defer r.g.end()
	pool, term := r.g.poolOf(grant.Endpoint)
	if pool == nil {
		r.g.release(grant, 0, false)
		return &attempt{refusal: notRun(metrics.RefusedConnect, stateCannotConnect, "the endpoint left the pool"), again: metrics.RetryPrimaryChanged}
	}
	c, err := r.connect(ctx, pool)
	if err != nil {
		r.g.release(grant, 0, true)
		r.reportError(grant.Endpoint)
		return &attempt{refusal: notRun(metrics.RefusedConnect, stateCannotConnect, err.Error()), again: metrics.RetryStaleConn}
	}
	if r.info.RequestKey != "" && !r.info.ReadOnly && !r.info.Begins {
		return r.runKeyed(ctx, grant, pool, c, term)
	}
	return r.runOnce(ctx, grant, pool, c, term)
}

// admit waits for a slot. A write starts only when it can be confirmed: one that
// ran while the previous owner's read lease may still hold would keep all reads
// of its effects waiting.
func (r *request) admit(ctx context.Context) (admission.Grant, *refusal) {
	for {
		grant, ref := r.g.admit(ctx, r.work(""))
		if ref != nil || r.info.ReadOnly {
			return grant, ref
		}
		until := r.g.untilConfirm(time.Now())
		if until <= 0 {
			return grant, nil
		}
		r.g.release(grant, 0, false)
		r.g.end()
		wait.Sleep(ctx, until)
	}
}

func (r *request) connect(ctx context.Context, pool *connPool) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline())
	defer cancel()
	return pool.get(ctx)
}

// deadline is the time after which the request must not start.
func (r *request) deadline() time.Time {
	d := time.Duration(r.class.DeadlineMs) * time.Millisecond
	if t := time.Duration(r.req.GetTimeoutMs()) * time.Millisecond; t > 0 && t < d {
		d = t
	}
	return r.arrived.Add(d)
}

// work describes the request to admission; a non-empty pinned endpoint is the
// only one that may run it.
func (r *request) work(pinned string) admission.Work {
	readOnly := r.info.ReadOnly && pinned == "" && !r.info.Begins
	staleness := time.Duration(r.read.MaxStalenessMs) * time.Millisecond
	return admission.Work{
		Session:     r.req.GetSession(),
		Fingerprint: r.info.Fingerprint,
		Priority:    r.class.Priority,
		LongRunning: r.class.LongRunning,
		ReadOnly:    readOnly,
		Arrived:     r.arrived,
		Deadline:    r.deadline(),
		Eligible: func(addr string) bool {
			if pinned != "" {
				return addr == pinned
			}
			if !readOnly || r.primaryOnly {
				return addr == r.g.view.Primary
			}
			return r.g.mayRead(addr, r.req.GetSession(), staleness)
		},
	}
}
