package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// runAndConfirm runs the batch on a connection and waits for its confirmation.
func (r *request) runAndConfirm(ctx context.Context, grant admission.Grant, pool *connPool, c *conn, term uint64) *attemptResult {
	conf, ref := r.group.newConfirmation(r, term, c.address)
	if ref != nil {
		pool.put(c)
		r.group.releaseSlot(grant, 0, false)
		return &attemptResult{refusal: ref, retryReason: metrics.RetryLease}
	}
	onPrimary := r.group.isPrimary(c.address, term)
	res, err := r.runBatch(ctx, grant, c, conf)
	if err != nil {
		pool.discard(c)
		r.reportError(c.address)
		return r.connectionLost(ctx, conf)
	}
	if res.sqlstate == stateReadOnly && res.status == 'I' && !r.info.BeginsTransaction && !r.info.EndsTransaction {
		return r.retryRejectedWrite(pool, c, onPrimary)
	}
	r.releaseConn(res, pool, c, term)
	conf.write.Upper = res.position
	conf.write.UpperKnown = !res.position.IsZero()
	conf.finishedAt = time.Now()
	a := r.finishBatch(ctx, conf, res, c.address, onPrimary)
	if a.refusal != nil && res.status != 'I' {
		// The caller gets an error and does not know that the batch began a
		// transaction, so nobody else would end it.
		r.owner.CloseTransaction(r.id[:])
	}
	return a
}

// retryRejectedWrite returns the retry of a batch that an endpoint rejected because it
// accepts no writes: it is a replica, or a primary whose term has been advanced. The
// batch is one implicit transaction, so nothing of it took effect.
func (r *request) retryRejectedWrite(pool *connPool, c *conn, onPrimary bool) *attemptResult {
	if !onPrimary {
		pool.put(c)
		r.primaryOnly = true
		return &attemptResult{refusal: notRun(metrics.RetryReplicaReject, stateReadOnly, "the statement writes"), retryReason: metrics.RetryReplicaReject}
	}
	pool.discard(c)
	r.reportError(c.address)
	return &attemptResult{refusal: notRun(metrics.RetryPrimaryChanged, stateReadOnly, "the endpoint accepts no writes"), retryReason: metrics.RetryPrimaryChanged}
}

// runBatch runs the batch on the connection and releases the slot.
func (r *request) runBatch(ctx context.Context, grant admission.Grant, c *conn, conf confirmation) (batchResult, error) {
	r.output.bufferAll = !conf.readOnly
	r.output.allowStreaming = func() bool { return r.confirmBeforeStreaming(ctx, c, conf) }
	stop := r.cancelOnDisconnect(ctx, c)
	started := time.Now()
	res, err := c.run(r.req.GetBatch(), r.output.add)
	stop()
	r.group.releaseSlot(grant, time.Since(started), err != nil)
	if err == nil {
		r.group.recordPosition(conf.term, c.address, res.position, started)
	}
	return res, err
}

// cancelOnDisconnect cancels the batch on the endpoint when ctx ends: the caller has
// disconnected or canceled, or the entry is lost. A write outside a transaction is not
// canceled, since its outcome may still be queried. The returned function ends the
// watch.
func (r *request) cancelOnDisconnect(ctx context.Context, c *conn) func() {
	if !r.info.ReadOnly && len(r.req.GetTransactionId()) == 0 {
		return func() {}
	}
	stop := context.AfterFunc(ctx, func() { c.cancel(context.WithoutCancel(ctx)) })
	return func() {
		if !stop() {
			c.canceled = true
		}
	}
}

// confirmBeforeStreaming waits until all data that the first part of a large answer may
// contain is confirmed. It returns false if the answer must not be streamed.
func (r *request) confirmBeforeStreaming(ctx context.Context, c *conn, conf confirmation) bool {
	pollCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := r.owner.cfg.GroupControl.Status(pollCtx, c.address)
	if err != nil {
		return false
	}
	conf.write.Upper = st.Applied
	return r.group.awaitConfirmation(ctx, conf) == nil
}

// releaseConn returns the connection to its pool, or registers the transaction that the
// batch has left open.
func (r *request) releaseConn(res batchResult, pool *connPool, c *conn, term uint64) {
	if res.status == 'I' {
		pool.put(c)
		return
	}
	r.owner.registerTransaction(&transaction{
		id:           r.id,
		group:        r.group,
		pool:         pool,
		conn:         c,
		term:         term,
		session:      r.req.GetSession(),
		mayHoldLocks: !r.info.ReadOnly,
	})
}
