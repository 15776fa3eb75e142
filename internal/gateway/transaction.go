package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// rollbackTimeout limits the rollback of a transaction. A connection that does not
// answer in time is closed, which rolls back as well.
const rollbackTimeout = 300 * time.Millisecond

// runInTransaction runs a statement of the open transaction.
func (s *sessionServer) runInTransaction(st session.Statement, arrived time.Time) Reply {
	ctx, cancel := s.statementContext(arrived)
	defer cancel()
	if s.pinned != nil {
		return s.runPinned(ctx, st)
	}
	return s.runFirst(ctx, st, arrived)
}

// runFirst chooses the transaction's endpoint and runs its first statement there. Since
// nothing has run before, the transaction can be moved to another endpoint.
func (s *sessionServer) runFirst(ctx context.Context, st session.Statement, arrived time.Time) Reply {
	g := s.gateway.group(s.db.Group)
	if g == nil {
		return s.refuse(CodeBusy, metrics.RefusedNoPrimary)
	}
	if refusal := s.takeToken(ctx); refusal != nil {
		return *refusal
	}
	defer s.refundToken()
	tx := s.state.Transaction()
	req := newRequirement(s.db, s.state.Floor, tx.Began, !tx.ReadOnly)
	var last attempt
	relayChanges := 0
	for tries := 1; ; {
		chosen, ok := s.awaitEndpoint(ctx, g, req)
		if !ok {
			return s.giveUpFirst(last)
		}
		if refusal := s.renewAuthorization(ctx); refusal != nil {
			return *refusal
		}
		a := s.openTransaction(ctx, chosen, req.primary, arrived)
		if s.repeatsAttempt(a, &relayChanges) {
			continue
		}
		if a.err == nil && a.reply.OK() {
			reply := s.runPinned(ctx, st)
			s.recordAttempt(attempt{reply: reply, sent: true})
			if reply.OK() || !s.startOver(st, &reply) {
				return reply
			}
			a = attempt{reply: reply, sent: true, chosen: chosen}
		}
		last = a
		if a.queueFull(req) || !s.mayRetry(ctx, tries) || s.takeToken(ctx) != nil {
			return s.giveUpFirst(last)
		}
		tries++
		s.beforeRetry(ctx, st.ID, req, a)
	}
}

// startOver resets a transaction whose first statement did not run, so that it can
// begin at another endpoint. It returns false if that is not possible.
func (s *sessionServer) startOver(st session.Statement, reply *Reply) bool {
	if !reply.Code.NotExecuted() || st.Op == session.OpCommit {
		return false
	}
	s.rollBackPinned()
	s.state.Transaction().Failed = false
	return true
}

// openTransaction begins the transaction on a connection to the chosen endpoint.
// arrived is when the first statement arrived.
func (s *sessionServer) openTransaction(ctx context.Context, chosen choice, primary bool, arrived time.Time) attempt {
	request := s.connRequest(arrived)
	request.primaryOnly, request.state = primary, s.state
	c, err := s.gateway.pool.checkout(ctx, chosen.target, request)
	if err != nil {
		return attempt{err: err, chosen: chosen}
	}
	op := session.OpBegin
	if s.state.Transaction().ReadOnly {
		op = session.OpBeginRead
	}
	end, _ := ctx.Deadline()
	reply, err := s.send(c, chosen.primary, end, false, Request{Statement: session.Statement{Op: op}, After: chosen.after})
	if err != nil || !reply.OK() {
		s.gateway.pool.release(c)
		// sent stays false, because no statement of the caller has been sent.
		return attempt{reply: reply, err: err, chosen: chosen}
	}
	s.pinned = c
	return attempt{reply: reply, sent: true, chosen: chosen}
}

// giveUpFirst answers the first statement of a transaction that could not begin.
func (s *sessionServer) giveUpFirst(last attempt) Reply {
	if last.sent && last.err == nil {
		return s.failStatement(last.reply.Code, last.reply.Detail)
	}
	return s.refuse(CodeBusy, last.refusalReason())
}

// runPinned runs a statement on the transaction's connection. If that connection is
// lost before COMMIT was sent, the transaction is certainly rolled back.
func (s *sessionServer) runPinned(ctx context.Context, st session.Statement) Reply {
	c := s.pinned
	tx := s.state.Transaction()
	end, _ := ctx.Deadline()
	reply, err := s.send(c, !tx.ReadOnly, end, true, Request{Statement: st})
	if notStarted(err) {
		return s.abortPinned()
	}
	if err != nil {
		s.pinned = nil
		s.gateway.pool.release(c)
		return s.refuse(CodeAborted, metrics.RefusedTransactionLost)
	}
	if reply.Dropped {
		// The endpoint does not know that the statement failed.
		return s.failStatement(reply.Code, reply.Detail)
	}
	tx.Wrote = tx.Wrote || st.Writes
	tx.Failed = reply.State == TxFailed
	if reply.State == TxIdle {
		// The endpoint has ended the transaction on its own.
		s.gateway.pool.release(c)
		s.pinned = nil
		tx.Failed = true
		reply.State = TxFailed
		return reply
	}
	s.gateway.pool.markIdleInTransaction(c)
	return reply
}

// abortPinned rolls back a transaction that must not go on at its endpoint.
func (s *sessionServer) abortPinned() Reply {
	s.pinned.broken = true
	s.gateway.pool.release(s.pinned)
	s.pinned = nil
	return s.refuse(CodeAborted, metrics.RefusedTransactionLost)
}

// commit commits the open transaction.
func (s *sessionServer) commit(st session.Statement, arrived time.Time) Reply {
	tx := s.state.Transaction()
	if tx == nil {
		return s.newReply(CodeMalformed, "no transaction is open")
	}
	if s.pinned == nil && tx.Failed {
		s.state.End()
		return s.newReply(CodeAborted, "the transaction was rolled back")
	}
	ctx, cancel := s.statementContext(arrived)
	defer cancel()
	if s.pinned == nil {
		return s.commitEmpty(ctx, st, arrived)
	}
	return s.commitPinned(ctx, st)
}

// commitEmpty commits a transaction without statements at an endpoint, since the caller
// expects the endpoint's signature.
func (s *sessionServer) commitEmpty(ctx context.Context, st session.Statement, arrived time.Time) Reply {
	g := s.gateway.group(s.db.Group)
	tx := s.state.Transaction()
	req := newRequirement(s.db, s.state.Floor, tx.Began, !tx.ReadOnly)
	if refusal := s.takeToken(ctx); refusal != nil {
		s.state.End()
		refusal.State = TxIdle
		return *refusal
	}
	defer s.refundToken()
	for g != nil {
		chosen, ok := s.awaitEndpoint(ctx, g, req)
		if !ok {
			break
		}
		if refusal := s.renewAuthorization(ctx); refusal != nil {
			return s.endRefusedCommit(st, *refusal)
		}
		a := s.openTransaction(ctx, chosen, req.primary, arrived)
		if a.err == nil && a.reply.OK() {
			s.token = operationToken{}
			return s.commitPinned(ctx, st)
		}
		if !a.choosesAgain() {
			break
		}
	}
	s.state.End()
	return s.refuse(CodeBusy, metrics.RefusedNoPrimary)
}

// commitPinned sends COMMIT on the transaction's connection. The outcome can be in
// doubt only if the transaction wrote.
func (s *sessionServer) commitPinned(ctx context.Context, st session.Statement) Reply {
	c := s.pinned
	tx := s.state.Transaction()
	wrote := tx.Wrote
	s.state.End()
	end, _ := ctx.Deadline()
	reply, err := s.send(c, !tx.ReadOnly, end, true, Request{Statement: st})
	if notStarted(err) || errors.Is(err, errUnproven) || errors.Is(err, errReplayRefused) {
		return s.abortPinned()
	}
	s.pinned = nil
	if err != nil {
		s.gateway.pool.release(c)
		if !wrote {
			return s.refuse(CodeAborted, metrics.RefusedTransactionLost)
		}
		return s.unknownOutcome(err)
	}
	if wrote && reply.OK() && !c.target.group.mayUseAsPrimary(boottime.Now(), c.target) {
		s.gateway.pool.release(c)
		s.gateway.events.answerNotCounted(st.ID, s.db.Name, c.target, reply.Position)
		return s.unknownOutcome(errPrimaryReplaced)
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

// rollbackOn rolls back the open transaction on the connection and releases the
// connection.
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
