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

// request is one request of an entry, from its arrival to its outcome.
type request struct {
	owner   *Owner
	req     *peerv1.Request
	id      outcomes.ID
	writer  peer.AnswerWriter
	arrived time.Time

	group *group
	info  statement.Info
	// readKind, writeKind and class are the manifest's rules that match the batch.
	readKind  manifest.ReadKind
	writeKind manifest.WriteKind
	class     manifest.Class
	output    output
	// primaryOnly is true after a replica rejected the batch because it writes.
	primaryOnly bool
}

// run runs the request and returns the message that ends its answer.
func (r *request) run(ctx context.Context) *peerv1.Answer {
	a := r.prepare()
	if a == nil {
		if len(r.req.GetTransactionId()) > 0 {
			a = r.attemptInTransaction(ctx)
		} else {
			a = r.runWithRetries(ctx)
		}
	}
	if a.refusal != nil {
		r.owner.cfg.Metrics.Inc(a.refusal.reason)
		end := a.refusal.toAnswer(r.owner.ownerLocation(r.req.GetPool()))
		end.TransactionStatus = "I"
		return end
	}
	r.output.flush()
	return &peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: string(a.status)}
}

// prepare classifies the batch and finds the group and the rules that apply. It returns
// nil if the request can run, otherwise its refusal.
func (r *request) prepare() *attemptResult {
	r.output.writer = r.writer
	r.owner.mu.Lock()
	r.group = r.owner.groups[r.req.GetPool()]
	r.owner.mu.Unlock()
	if r.group == nil {
		return refused(notRun(metrics.RefusedNotOwner, stateCannotConnectNow, "this host does not own the pool"))
	}
	info, err := statement.Classify(r.req.GetBatch())
	if err != nil {
		return refused(notRun(metrics.RefusedProtocol, "08P01", err.Error()))
	}
	if info.SessionState != "" {
		msg := "session state cannot be kept through the proxy: " + info.SessionState
		return refused(notRun(metrics.RefusedSessionState, stateNotSupported, msg))
	}
	if len(info.UnresolvedStatements) > 0 {
		// The connection may hold another caller's prepared statement of that name.
		return refused(notRun(metrics.RefusedProtocol, "26000", "the batch uses a prepared statement that it does not parse"))
	}
	r.info = info
	r.group.mu.Lock()
	rules := r.group.rules
	r.group.mu.Unlock()
	if rules == nil {
		return refused(notRun(metrics.RefusedUnknownPool, "3D000", "the pool is not configured"))
	}
	r.readKind = rules.Read(info)
	r.writeKind = rules.Write(info)
	r.class = rules.Class(info)
	return nil
}

// runWithRetries runs the request until it has an outcome or maxAttempts is reached.
// Only a request that had no effect is repeated.
func (r *request) runWithRetries(ctx context.Context) *attemptResult {
	for n := 1; ; n++ {
		a := r.attemptOnce(ctx)
		if a.retryReason == "" || n == maxAttempts || r.output.streaming || ctx.Err() != nil {
			return a
		}
		r.owner.cfg.Metrics.Inc(a.retryReason)
		r.output.reset()
	}
}

// attemptOnce waits for a slot and runs the batch once.
func (r *request) attemptOnce(ctx context.Context) *attemptResult {
	if r.info.BeginsTransaction && r.owner.isDraining() {
		return refused(notRun(metrics.RefusedDraining, stateCannotConnectNow, "the host is leaving"))
	}
	grant, ref := r.admit(ctx)
	if ref != nil {
		return refused(ref)
	}
	defer r.group.endRequest()
	pool, term := r.group.connPoolFor(grant.Endpoint)
	if pool == nil {
		r.group.releaseSlot(grant, 0, false)
		return &attemptResult{refusal: notRun(metrics.RefusedConnect, stateCannotConnectNow, "the endpoint left the pool"), retryReason: metrics.RetryPrimaryChanged}
	}
	c, err := r.connect(ctx, pool)
	if err != nil {
		r.group.releaseSlot(grant, 0, true)
		r.reportError(grant.Endpoint)
		return &attemptResult{refusal: notRun(metrics.RefusedConnect, stateCannotConnectNow, err.Error()), retryReason: metrics.RetryStaleConn}
	}
	if r.info.RequestKey != "" && !r.info.ReadOnly && !r.info.BeginsTransaction {
		return r.runWithRequestKey(ctx, grant, pool, c, term)
	}
	return r.runAndConfirm(ctx, grant, pool, c, term)
}

// admit waits for a slot. A write does not start before it can be confirmed: if it ran
// while the previous owner's read lease may still be valid, all reads that see it
// would have to wait, too.
func (r *request) admit(ctx context.Context) (admission.Grant, *refusal) {
	for {
		grant, ref := r.group.admit(ctx, r.newWork(""))
		if ref != nil || r.info.ReadOnly {
			return grant, ref
		}
		until := r.group.timeUntilConfirmable(time.Now())
		if until <= 0 {
			return grant, nil
		}
		r.group.releaseSlot(grant, 0, false)
		r.group.endRequest()
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

// newWork describes the request for the scheduler. If pinned is not empty, only that
// endpoint may run the request.
func (r *request) newWork(pinned string) admission.Work {
	readOnly := r.info.ReadOnly && pinned == "" && !r.info.BeginsTransaction
	staleness := time.Duration(r.readKind.MaxStalenessMs) * time.Millisecond
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
				return addr == r.group.view.Primary
			}
			return r.group.canServeRead(addr, r.req.GetSession(), staleness)
		},
	}
}
