package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// sessionServer serves the statements of one session sequentially.
type sessionServer struct {
	gateway *Gateway
	caller  Caller
	account *budget.Account
	// kept is what the account is charged for the values and prepared statements.
	kept  int64
	state *session.State
	// db is the database of the open transaction or the running statement.
	db Database
	// authorized is what the running statement may use.
	authorized authorization
	// token is the token of the running operation.
	token operationToken
	// pinned is the connection of the open transaction. It is nil before the
	// transaction's first statement and after the connection was lost.
	pinned *conn
}

// serve answers statements until the session ends.
func (s *sessionServer) serve() {
	defer s.end()
	for {
		st, err := s.nextStatement()
		if err != nil {
			s.logSessionEnd(err)
			return
		}
		arrived := boottime.Now()
		reply := s.handle(st, arrived)
		s.gateway.metrics.Observe(metrics.LatencyStatement, boottime.Now().Sub(arrived))
		s.gateway.countAnswer(s, st, &reply)
		if err := s.caller.Reply(reply); err != nil {
			return
		}
		s.account.EndStatement()
		s.releaseEndedTransaction()
	}
}

// nextStatement waits for a statement. It rolls back a transaction that stays idle for
// too long.
func (s *sessionServer) nextStatement() (session.Statement, error) {
	for {
		s.setIdleDeadline()
		if !s.gateway.beginIdle(s) {
			return session.Statement{}, io.EOF
		}
		st, err := s.caller.NextStatement()
		s.gateway.endIdle(s)
		if !errors.Is(err, ErrInterrupted) {
			return st, err
		}
		if s.gateway.shouldClose(s) {
			return session.Statement{}, io.EOF
		}
		s.failTransaction(metrics.RefusedIdleTransaction)
	}
}

// setIdleDeadline limits how long a transaction that holds a connection may stay idle.
func (s *sessionServer) setIdleDeadline() {
	var at time.Time
	if s.pinned != nil {
		at = time.Now().Add(s.gateway.catalog().IdleTransactionTimeout)
	}
	s.caller.SetIdleDeadline(at)
}

// logSessionEnd logs and counts why a session ended, unless the caller ended it.
func (s *sessionServer) logSessionEnd(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	if errors.Is(err, ErrOversize) {
		s.gateway.metrics.Inc(metrics.RefusedOversize)
	}
	s.gateway.events.sessionEnded(s.caller.Database(), err)
}

// handle answers one statement.
func (s *sessionServer) handle(st session.Statement, arrived time.Time) Reply {
	tx := s.state.Transaction()
	if tx != nil && tx.Failed && st.Op != session.OpCommit && st.Op != session.OpRollback {
		return s.newReply(CodeMalformed, "the transaction has failed")
	}
	if st.Op != session.OpRollback {
		if refusal := s.authorizeStatement(); refusal != nil {
			return s.endRefusedCommit(st, *refusal)
		}
	}
	switch st.Op {
	case session.OpBegin, session.OpBeginRead:
		return s.begin(st, arrived)
	case session.OpRollback:
		return s.rollback()
	case session.OpSet, session.OpPrepare, session.OpDeallocate:
		return s.changeState(st)
	case session.OpCommit:
		return s.commit(st, arrived)
	case session.OpRead, session.OpWrite, session.OpExecute:
		return s.run(st, arrived)
	}
	return s.failStatement(CodeMalformed, "the statement is not understood")
}

// endRefusedCommit returns the refusal of a statement. The transaction of a refused COMMIT has
// ended, as it was rolled back.
func (s *sessionServer) endRefusedCommit(st session.Statement, refusal Reply) Reply {
	if st.Op == session.OpCommit && s.state.Transaction() != nil {
		s.state.End()
		refusal.State = TxIdle
	}
	return refusal
}

// connRequest returns what the statement that arrived at the given time needs of a connection.
func (s *sessionServer) connRequest(arrived time.Time) connRequest {
	return connRequest{QueuedRequest: s.db.queuedRequest(arrived), team: s.authorized.team.Name, share: s.authorized.team.Share, database: s.db.Name}
}

// run runs a read, a write or a prepared statement.
func (s *sessionServer) run(st session.Statement, arrived time.Time) Reply {
	p, ok := s.state.Prepared(st.Name)
	if st.Op == session.OpExecute && !ok {
		return s.failStatement(CodeNoStatement, "the prepared statement is not known")
	}
	if st.Op == session.OpExecute {
		st.Writes = p.Writes
	}
	if s.state.Transaction() != nil {
		return s.runInTransaction(st, arrived)
	}
	if !s.loadDatabase() {
		return s.gateway.refuseUnknownDatabase()
	}
	return s.runSingle(st, arrived)
}

// begin opens a transaction. BEGIN is sent to an endpoint only before the first
// statement, so that the transaction holds no connection until then.
func (s *sessionServer) begin(st session.Statement, arrived time.Time) Reply {
	if s.state.Transaction() != nil {
		return s.failStatement(CodeMalformed, "a transaction is open")
	}
	if !s.loadDatabase() {
		return s.gateway.refuseUnknownDatabase()
	}
	s.state.Begin(st.Op == session.OpBeginRead, arrived)
	return s.newReply(CodeNone, "")
}

// loadDatabase loads the configuration of the caller's database for which the statement was
// authorized. It returns false if the database is not configured.
func (s *sessionServer) loadDatabase() bool {
	if s.authorized.configured {
		s.db = s.authorized.database
	}
	return s.authorized.configured
}

// rollback ends the transaction. ROLLBACK is sent to the endpoint after the caller was
// answered.
func (s *sessionServer) rollback() Reply {
	if s.state.Transaction() == nil {
		return s.newReply(CodeMalformed, "no transaction is open")
	}
	s.state.End()
	return s.newReply(CodeNone, "")
}

// releaseEndedTransaction rolls back and releases the connection of a transaction that
// has ended.
func (s *sessionServer) releaseEndedTransaction() {
	if s.pinned == nil || s.state.Transaction() != nil {
		return
	}
	s.gateway.rollbackOn(s.pinned)
	s.pinned = nil
}

// end ends the session and closes the caller's connection.
func (s *sessionServer) end() {
	s.gateway.sessionStateBytes.Add(-int64(s.state.Bytes()))
	s.state.End()
	s.releaseEndedTransaction()
	s.caller.Close()
}

// failTransaction marks the open transaction as failed and releases its connection.
func (s *sessionServer) failTransaction(reason metrics.Name) {
	tx := s.state.Transaction()
	if tx == nil {
		return
	}
	tx.Failed = true
	s.gateway.metrics.Inc(reason)
	s.rollBackPinned()
}

// rollBackPinned rolls back the transaction at its endpoint, if it has begun there.
func (s *sessionServer) rollBackPinned() {
	if s.pinned != nil {
		s.gateway.rollbackOn(s.pinned)
		s.pinned = nil
	}
}

// newReply returns an answer that carries the transaction's state.
func (s *sessionServer) newReply(code Code, detail string) Reply {
	r := Reply{Code: code, Detail: detail}
	if tx := s.state.Transaction(); tx != nil {
		r.State = TxOpen
		if tx.Failed {
			r.State = TxFailed
		}
	}
	return r
}

// failStatement returns an error and marks the open transaction as failed.
func (s *sessionServer) failStatement(code Code, detail string) Reply {
	if tx := s.state.Transaction(); tx != nil {
		tx.Failed = true
	}
	// The endpoint does not know that the transaction has failed, and would commit it.
	s.rollBackPinned()
	return s.newReply(code, detail)
}

// statementContext returns a context that ends at the statement's timeout.
func (s *sessionServer) statementContext(arrived time.Time) (context.Context, context.CancelFunc) {
	left := s.db.Timeout - boottime.Now().Sub(arrived)
	return context.WithTimeout(s.gateway.ctx, left)
}
