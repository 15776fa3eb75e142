package owner

import (
	"context"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// transaction is an open transaction and the connection that it holds until it ends.
type transaction struct {
	id      outcomes.ID
	group   *group
	pool    *connPool
	term    uint64
	session string
	// timer rolls the transaction back when it has been idle for too long.
	timer *time.Timer

	// mu serializes the batches of the transaction.
	mu sync.Mutex
	// mayHoldLocks is true once a statement was sent that is not known to be read-only.
	mayHoldLocks bool
	// conn is nil after the transaction has ended.
	conn *conn
}

// registerTransaction keeps an open transaction for its next batches.
func (o *Owner) registerTransaction(t *transaction) {
	o.cfg.Metrics.Inc(metrics.Transactions)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.transactions[t.id] = t
	t.timer = time.AfterFunc(idleTransactionTimeout, func() { o.endTransaction(t) })
}

func (o *Owner) findTransaction(id []byte) *transaction {
	if len(id) != len(outcomes.ID{}) {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.transactions[outcomes.ID(id)]
}

// CloseTransaction implements peer.RequestHandler.
func (o *Owner) CloseTransaction(id []byte) {
	if t := o.findTransaction(id); t != nil {
		o.endTransaction(t)
	}
}

// endTransaction closes the connection, which makes the endpoint roll back.
func (o *Owner) endTransaction(t *transaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.removeTransaction(t, false)
}

// removeTransaction removes a transaction; t.mu must be held. If the transaction ended
// cleanly its connection is returned to the pool, otherwise it is closed.
func (o *Owner) removeTransaction(t *transaction, clean bool) {
	if t.conn == nil {
		return
	}
	t.timer.Stop()
	if clean {
		t.pool.put(t.conn)
	} else {
		t.pool.discard(t.conn)
	}
	t.conn = nil
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.transactions, t.id)
}

// attemptInTransaction runs a batch of an open transaction.
func (r *request) attemptInTransaction(ctx context.Context) *attemptResult {
	t := r.owner.findTransaction(r.req.GetTransactionId())
	if t == nil || t.group != r.group {
		return refused(transactionLost())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.term != r.group.currentTerm() {
		r.owner.removeTransaction(t, false)
		return refused(transactionLost())
	}
	t.timer.Reset(idleTransactionTimeout)
	grant, ref := r.admitInTransaction(ctx, t)
	if ref != nil {
		r.owner.removeTransaction(t, false)
		return refused(ref)
	}
	defer r.group.endRequest()
	conf, ref := r.group.newConfirmation(r, t.term, t.conn.address)
	if ref != nil {
		r.group.releaseSlot(grant, 0, false)
		r.owner.removeTransaction(t, false)
		return refused(ref)
	}
	// Nothing that runs inside a transaction takes effect before its end, so only the
	// end must be confirmed as a write.
	conf.readOnly = !r.info.EndsTransaction
	return r.runInTransaction(ctx, t, grant, conf)
}

// transactionPriority is the scheduling priority of statements in open transactions.
// They go before new work because a transaction holds a connection and locks.
const transactionPriority = 10

func (r *request) runInTransaction(ctx context.Context, t *transaction, grant admission.Grant, conf confirmation) *attemptResult {
	addr := t.conn.address
	res, err := r.runBatch(ctx, grant, t.conn, conf)
	if err != nil {
		r.owner.removeTransaction(t, false)
		r.reportError(addr)
		if conf.readOnly {
			return refused(transactionLost())
		}
		return refused(r.group.awaitNextTerm(ctx, conf))
	}
	if res.status == 'I' {
		r.owner.removeTransaction(t, true)
	}
	conf.write.Upper = res.position
	conf.write.UpperKnown = !res.position.IsZero()
	conf.finishedAt = time.Now()
	a := r.finishBatch(ctx, conf, res, addr, true)
	if a.refusal != nil {
		r.owner.removeTransaction(t, false)
	}
	return a
}

// admitInTransaction waits for a slot. A statement of a transaction that may hold locks
// runs without a slot, to avoid a deadlock: all slots may be taken by statements that
// wait for those locks. While the group is being drained, every statement runs without
// one, because the scheduler grants no slots.
func (r *request) admitInTransaction(ctx context.Context, t *transaction) (admission.Grant, *refusal) {
	holdsLocks := t.mayHoldLocks || r.info.EndsTransaction
	t.mayHoldLocks = t.mayHoldLocks || !r.info.ReadOnly
	if r.group.startWithoutSlot(holdsLocks) {
		return admission.Grant{}, nil
	}
	work := r.newWork(t.conn.address)
	work.Priority = transactionPriority
	return r.group.admit(ctx, work)
}

// startWithoutSlot counts a request as in flight without a slot if it holds locks or the
// group is being drained. It reports whether it did.
func (g *group) startWithoutSlot(holdsLocks bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	draining := g.view.Owned && g.view.InTransition
	if !holdsLocks && !draining {
		return false
	}
	g.inFlight++
	return true
}

func transactionLost() *refusal {
	return notRun(metrics.RefusedTransactionLost, stateSerialization, "the transaction was rolled back since its connection was lost")
}

func (g *group) currentTerm() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.term
}
