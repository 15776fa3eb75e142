package owner

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// runOnce runs the batch on a connection and waits for its confirmation.
func (r *request) runOnce(ctx context.Context, grant admission.Grant, pool *connPool, c *conn, term uint64) *attempt {
	conf, ref := r.g.confirmationFor(r, term, c.address)
	if ref != nil {
		pool.put(c)
		r.g.release(grant, 0, false)
		return &attempt{refusal: ref, again: metrics.RetryLease}
	}
	onPrimary := r.g.isPrimary(c.address, term)
	res, err := r.runBatch(ctx, grant, c, conf)
	if err != nil {
		pool.discard(c)
		r.reportError(c.address)
		return r.connectionLost(ctx, conf)
	}
	if res.sqlstate == stateReadOnly && res.status == 'I' && !r.info.Begins && !r.info.Ends {
		return r.writeRejected(pool, c, onPrimary)
	}
	r.afterRun(res, pool, c, term)
	conf.write.Upper = res.position
	conf.write.UpperKnown = !res.position.IsZero()
	conf.done = time.Now()
	a := r.settle(ctx, conf, res, c.address, onPrimary)
	if a.refusal != nil && res.status != 'I' {
		// The caller does not learn of the transaction that the batch has begun.
		r.o.CloseTransaction(r.id[:])
	}
	return a
}

// writeRejected repeats a batch that an endpoint rejected since it accepts no
// writes: a replica, or a primary whose term was advanced meanwhile. The batch
// is one implicit transaction, so nothing of it took effect.
func (r *request) writeRejected(pool *connPool, c *conn, onPrimary bool) *attempt {
	if !onPrimary {
		pool.put(c)
		r.primaryOnly = true
		return &attempt{refusal: notRun(metrics.RetryReplicaReject, stateReadOnly, "the statement writes"), again: metrics.RetryReplicaReject}
	}
	pool.discard(c)
	r.reportError(c.address)
	return &attempt{refusal: notRun(metrics.RetryPrimaryChanged, stateReadOnly, "the endpoint accepts no writes"), again: metrics.RetryPrimaryChanged}
}

// runBatch runs the batch and frees the slot.
func (r *request) runBatch(ctx context.Context, grant admission.Grant, c *conn, conf confirmation) (batchResult, error) {
	r.out.keepAll = !conf.reads
	r.out.allow = func() bool { return r.mayStream(ctx, c, conf) }
	stop := r.cancelWith(ctx, c)
	started := time.Now()
	res, err := c.run(r.req.GetBatch(), r.out.add)
	stop()
	r.g.release(grant, time.Since(started), err != nil)
	if err == nil {
		r.g.sawPosition(conf.term, c.address, res.position, started)
	}
	return res, err
}

// cancelWith cancels the batch on the endpoint if the caller goes away. A write
// outside a transaction is left to end, since its outcome may be asked for. The
// returned function ends the watch.
func (r *request) cancelWith(ctx context.Context, c *conn) func() {
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

// mayStream confirms what the first part of a large answer has seen.
func (r *request) mayStream(ctx context.Context, c *conn, conf confirmation) bool {
	pollCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st, err := r.o.cfg.GroupControl.Status(pollCtx, c.address)
	if err != nil {
		return false
	}
	conf.write.Upper = st.Applied
	return r.g.await(ctx, conf) == nil
}

// afterRun returns the connection, or keeps it for the transaction that the
// batch has begun.
func (r *request) afterRun(res batchResult, pool *connPool, c *conn, term uint64) {
	if res.status == 'I' {
		pool.put(c)
		return
	}
	r.o.keepTransaction(&transaction{
		id:      r.id,
		g:       r.g,
		pool:    pool,
		conn:    c,
		term:    term,
		session: r.req.GetSession(),
		wrote:   !r.info.ReadOnly,
	})
}
