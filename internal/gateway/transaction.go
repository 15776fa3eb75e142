package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// rollbackTimeout bounds the rollback of an abandoned transaction; a connection
// that does not answer by then is closed, which rolls back as well.
const rollbackTimeout = 300 * time.Millisecond

// runInTransaction runs a statement of the open transaction.
func (s *sessionServer) runInTransaction(st session.Statement, arrived time.Time) Reply {
	ctx, cancel := s.callerContext(arrived)
	defer cancel()
	if s.pinned != nil {
		return s.runPinned(ctx, st)
	}
	return s.runFirst(ctx, st, arrived)
}

// runFirst chooses the transaction's endpoint and runs its first statement there.
// Nothing has run before, so that it may start over elsewhere.
func (s *sessionServer) runFirst(ctx context.Context, st session.Statement, arrived time.Time) Reply {
	g := s.gateway.group(s.db.Group)
	if g == nil {
		return s.refuse(CodeBusy, metrics.RefusedNoPrimary)
	}
	tx := s.state.Transaction()
	n := newNeed(s.db, s.state.Floor, tx.Began, !tx.ReadOnly)
	var last attempt
	for tries := 1; ; {
		at, ok := s.pick(ctx, g, n)
		if !ok {
			return s.giveUpFirst(last)
		}
		a := s.open(ctx, at, n.primary, arrived)
		if errors.Is(a.err, errRequeue) {
			continue
		}
		if a.err == nil && a.reply.OK() {
			reply := s.runPinned(ctx, st)
			if reply.OK() || !s.mayStartOver(st, &reply) {
				return reply
			}
			a = attempt{reply: reply, sent: true, at: at}
		}
		last = a
		if a.hopeless(n) || !s.mayRetry(ctx, tries) {
			return s.giveUpFirst(last)
		}
		tries++
		s.beforeRetry(ctx, st.ID, n, a)
	}
}

// mayStartOver undoes a transaction whose first statement did not run, so that it
// may begin again at another endpoint.
func (s *sessionServer) mayStartOver(st session.Statement, reply *Reply) bool {
	if !reply.Code.NotRun() || reply.Code == CodeAborted || st.Op == session.OpCommit {
		return false
	}
	if s.pinned != nil {
		s.gateway.rollbackOn(s.pinned)
		s.pinned = nil
	}
	s.state.Transaction().Failed = false
	return true
}

// open begins the transaction on a connection of the endpoint, for its first
// statement, which arrived at the time.
func (s *sessionServer) open(ctx context.Context, at choice, primary bool, arrived time.Time) attempt {
	c, err := s.gateway.pool.checkout(ctx, at.target, s.state, s.db.turn(arrived))
	if err != nil {
		return attempt{err: err, at: at}
	}
	op := session.OpBegin
	if s.state.Transaction().ReadOnly {
		op = session.OpBeginRead
	}
	end, _ := ctx.Deadline()
	reply, err := s.send(c, primary, end, false, Request{Statement: session.Statement{Op: op}, After: at.after})
	if err != nil || !reply.OK() {
		s.gateway.pool.release(c)
		// No statement of the caller has been sent.
		return attempt{reply: reply, err: err, at: at}
	}
	s.pinned = c
	return attempt{reply: reply, sent: true, at: at}
}

// giveUpFirst answers the first statement of a transaction that could not begin.
func (s *sessionServer) giveUpFirst(last attempt) Reply {
	if last.sent && last.err == nil {
		return s.failed(last.reply.Code, last.reply.Detail)
	}
	return s.refuse(CodeBusy, last.refusal())
}

// runPinned runs a statement on the transaction's connection. A transaction whose
// connection is lost before its commit was sent is surely rolled back.
func (s *sessionServer) runPinned(ctx context.Context, st session.Statement) Reply {
	c := s.pinned
	tx := s.state.Transaction()
	if !tx.ReadOnly && !c.target.group.leads(boottime.Now(), c.target) {
		return s.deposed()
	}
	end, _ := ctx.Deadline()
	reply, err := s.send(c, !tx.ReadOnly, end, true, Request{Statement: st})
	if err != nil {
		s.pinned = nil
		s.gateway.pool.release(c)
		return s.refuse(CodeAborted, metrics.RefusedTransactionLost)
	}
	tx.Wrote = tx.Wrote || st.Writes
	tx.Failed = reply.State == TxFailed
	if reply.State == TxIdle {
		// The endpoint has ended the transaction by itself.
		s.gateway.pool.release(c)
		s.pinned = nil
		tx.Failed = true
		reply.State = TxFailed
		return reply
	}
	s.gateway.pool.rest(c)
	return reply
}

// deposed rolls back a transaction whose endpoint may no longer be the primary.
func (s *sessionServer) deposed() Reply {
	s.pinned.broken = true
	s.gateway.pool.release(s.pinned)
	s.pinned = nil
	return s.refuse(CodeAborted, metrics.RefusedTransactionLost)
}

// commit ends the transaction at its endpoint.
func (s *sessionServer) commit(st session.Statement, arrived time.Time) Reply {
	tx := s.state.Transaction()
	if tx == nil {
		return s.reply(CodeMalformed, "no transaction is open")
	}
	if s.pinned == nil && tx.Failed {
		s.state.End()
		return s.reply(CodeAborted, "the transaction was rolled back")
	}
	ctx, cancel := s.callerContext(arrived)
	defer cancel()
	if s.pinned == nil {
		return s.commitEmpty(ctx, st, arrived)
	}
	return s.commitPinned(ctx, st)
}

// commitEmpty commits a transaction without statements, for the endpoint's
// signature.
func (s *sessionServer) commitEmpty(ctx context.Context, st session.Statement, arrived time.Time) Reply {
	g := s.gateway.group(s.db.Group)
	tx := s.state.Transaction()
	n := newNeed(s.db, s.state.Floor, tx.Began, !tx.ReadOnly)
	for g != nil {
		at, ok := s.pick(ctx, g, n)
		if !ok {
			break
		}
		a := s.open(ctx, at, n.primary, arrived)
		if a.err == nil && a.reply.OK() {
			return s.commitPinned(ctx, st)
		}
		if !errors.Is(a.err, errRequeue) {
			break
		}
	}
	s.state.End()
	return s.refuse(CodeBusy, metrics.RefusedNoPrimary)
}

// commitPinned sends the commit. Only a commit of writes can be in doubt.
func (s *sessionServer) commitPinned(ctx context.Context, st session.Statement) Reply {
	c := s.pinned
	tx := s.state.Transaction()
	wrote := tx.Wrote
	if !tx.ReadOnly && !c.target.group.leads(boottime.Now(), c.target) {
		reply := s.deposed()
		s.state.End()
		reply.State = TxIdle
		return reply
	}
	s.pinned = nil
	s.state.End()
	end, _ := ctx.Deadline()
	reply, err := s.send(c, !tx.ReadOnly, end, true, Request{Statement: st})
	if err != nil {
		s.gateway.pool.release(c)
		if !wrote {
			return s.refuse(CodeAborted, metrics.RefusedTransactionLost)
		}
		return s.unknown(err)
	}
	if wrote && reply.OK() && !c.target.group.leads(boottime.Now(), c.target) {
		s.gateway.pool.release(c)
		return s.unknown(errDeposed)
	}
	if reply.State != TxIdle {
		s.gateway.rollbackOn(c)
		reply.State = TxIdle
		return reply
	}
	if reply.OK() && wrote {
		s.state.RecordCommit(reply.Position)
	}
	s.gateway.pool.release(c)
	return reply
}

// rollbackOn ends what is open on the connection and returns it to the pool.
func (gw *Gateway) rollbackOn(c *conn) {
	if !c.broken {
		rollback := Request{Statement: session.Statement{Op: session.OpRollback}}
		reply, _, err := gw.pool.run(c, false, time.Now().Add(rollbackTimeout), session.New(), true, rollback)
		if err != nil || reply.State != TxIdle {
			c.broken = true
		}
	}
	gw.pool.release(c)
}
