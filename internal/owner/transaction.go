package owner

import (
	"context"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/outcomes"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// transaction is an open transaction: one connection from BEGIN to its end.
type transaction struct {
	id      outcomes.ID
	g       *group
	pool    *connPool
	term    uint64
	session string
	// timer ends the transaction when the caller is silent for too long.
	timer *time.Timer

	// mu serialises the batches of the transaction.
	mu sync.Mutex
	// wrote is true once a statement was sent that may hold locks.
	wrote bool
	// conn is nil once the transaction has ended.
	conn *conn
}

func (o *Owner) keepTransaction(t *transaction) {
	o.cfg.Metrics.Inc(metrics.Transactions)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.txs[t.id] = t
	t.timer = time.AfterFunc(idleTransactionTimeout, func() { o.endTransaction(t) })
}

func (o *Owner) findTransaction(id []byte) *transaction {
	if len(id) != len(outcomes.ID{}) {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.txs[outcomes.ID(id)]
}

// CloseTransaction implements peer.Server.
func (o *Owner) CloseTransaction(id []byte) {
	if t := o.findTransaction(id); t != nil {
		o.endTransaction(t)
	}
}

// endTransaction closes the connection, which makes the endpoint roll back.
func (o *Owner) endTransaction(t *transaction) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.dropTransaction(t, false)
}

// dropTransaction forgets a transaction whose mu is held. Its connection is
// kept for others only if the transaction ended cleanly.
func (o *Owner) dropTransaction(t *transaction, clean bool) {
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
	delete(o.txs, t.id)
}

// inTransaction runs a batch of an open transaction.
func (r *request) inTransaction(ctx context.Context) *attempt {
	t := r.o.findTransaction(r.req.GetTransactionId())
	if t == nil || t.g != r.g {
		return refused(transactionLost())
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil || t.term != r.g.currentTerm() {
		r.o.dropTransaction(t, false)
		return refused(transactionLost())
	}
	t.timer.Reset(idleTransactionTimeout)
	grant, ref := r.admitInTransaction(ctx, t)
	if ref != nil {
		r.o.dropTransaction(t, false)
		return refused(ref)
	}
	defer r.g.end()
	conf, ref := r.g.confirmationFor(r, t.term, t.conn.address)
	if ref != nil {
		r.g.release(grant, 0, false)
		r.o.dropTransaction(t, false)
		return refused(ref)
	}
	// Answers inside a transaction change nothing yet; only its end is a write.
	conf.reads = !r.info.Ends
	return r.runInTransaction(ctx, t, grant, conf)
}

// transactionPriority lets open transactions end before new work starts, since
// they hold connections and locks.
const transactionPriority = 10

func (r *request) runInTransaction(ctx context.Context, t *transaction, grant admission.Grant, conf confirmation) *attempt {
	addr := t.conn.address
	res, err := r.runBatch(ctx, grant, t.conn, conf)
	if err != nil {
		r.o.dropTransaction(t, false)
		r.reportError(addr)
		if conf.reads {
			return refused(transactionLost())
		}
		return refused(r.g.awaitTerm(ctx, conf))
	}
	if res.status == 'I' {
		r.o.dropTransaction(t, true)
	}
	conf.write.Upper = res.position
	conf.write.UpperKnown = !res.position.IsZero()
	conf.done = time.Now()
	a := r.settle(ctx, conf, res, addr, true)
	if a.refusal != nil {
		r.o.dropTransaction(t, false)
	}
	return a
}

// admitInTransaction waits for a slot. A statement of a transaction that may
// hold locks runs without one: all slots may be taken by statements that wait
// for those locks, and none of them would ever end. So does every statement
// while the group is drained, when no slots are given.
func (r *request) admitInTransaction(ctx context.Context, t *transaction) (admission.Grant, *refusal) {
	holdsLocks := t.wrote || r.info.Ends
	t.wrote = t.wrote || !r.info.ReadOnly
	if r.g.enterWithoutSlot(holdsLocks) {
		return admission.Grant{}, nil
	}
	work := r.work(t.conn.address)
	work.Priority = transactionPriority
	return r.g.admit(ctx, work)
}

// enterWithoutSlot counts a request as in flight without a slot if it holds
// locks or the group is being drained, and reports whether it did.
func (g *group) enterWithoutSlot(holdsLocks bool) bool {
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
