package gateway

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// sessionServer serves the statements of one caller, one after the other.
type sessionServer struct {
	gateway *Gateway
	caller  Caller
	state   *session.State
	// db is the database of the open transaction or the running statement.
	db Database
	// pinned is the connection of the open transaction; nil before its first
	// statement and after the connection was lost.
	pinned *conn
}

// serve answers statements until the session ends.
func (s *sessionServer) serve() {
	defer s.abandon()
	for {
		st, err := s.next()
		if err != nil {
			s.logEnd(err)
			return
		}
		arrived := boottime.Now()
		reply := s.handle(st, arrived)
		s.gateway.metrics.Observe(metrics.LatencyStatement, boottime.Now().Sub(arrived))
		s.gateway.answered(s, st, &reply)
		if err := s.caller.Reply(reply); err != nil {
			return
		}
		s.settle()
	}
}

// next waits for a statement. A transaction that rests too long is rolled back.
func (s *sessionServer) next() (session.Statement, error) {
	for {
		s.setIdleDeadline()
		if !s.gateway.waitBegins(s) {
			return session.Statement{}, io.EOF
		}
		st, err := s.caller.Statement()
		s.gateway.waitEnds(s)
		if !errors.Is(err, ErrInterrupted) {
			return st, err
		}
		if s.gateway.mayClose(s) {
			return session.Statement{}, io.EOF
		}
		s.failTransaction(metrics.RefusedIdleTransaction)
	}
}

// setIdleDeadline bounds the rest of a transaction that holds a connection.
func (s *sessionServer) setIdleDeadline() {
	var at time.Time
	if s.pinned != nil {
		at = time.Now().Add(s.gateway.catalog().IdleTransaction)
	}
	s.caller.SetIdleDeadline(at)
}

// logEnd records why a session ended, if not at the caller's wish.
func (s *sessionServer) logEnd(err error) {
	if errors.Is(err, io.EOF) {
		return
	}
	s.gateway.events.session(s.caller.Database(), err)
}

// handle answers one statement.
func (s *sessionServer) handle(st session.Statement, arrived time.Time) Reply {
	tx := s.state.Transaction()
	if tx != nil && tx.Failed && st.Op != session.OpCommit && st.Op != session.OpRollback {
		return s.reply(CodeMalformed, "the transaction has failed")
	}
	switch st.Op {
	case session.OpBegin, session.OpBeginRead:
		return s.begin(st, arrived)
	case session.OpRollback:
		return s.rollback()
	case session.OpSet:
		s.state.Set(st.Name, st.Args)
		return s.reply(CodeNone, "")
	case session.OpPrepare:
		s.state.Prepare(st.Name, st.Args, st.Writes)
		return s.reply(CodeNone, "")
	case session.OpDeallocate:
		s.state.Deallocate(st.Name)
		return s.reply(CodeNone, "")
	case session.OpCommit:
		return s.commit(st, arrived)
	case session.OpRead, session.OpWrite, session.OpExecute:
		return s.run(st, arrived)
	}
	return s.failed(CodeMalformed, "the statement is not understood")
}

// run runs a read or a write.
func (s *sessionServer) run(st session.Statement, arrived time.Time) Reply {
	p, ok := s.state.Prepared(st.Name)
	if st.Op == session.OpExecute && !ok {
		return s.failed(CodeNoStatement, "the prepared statement is not known")
	}
	if st.Op == session.OpExecute {
		st.Writes = p.Writes
	}
	if s.state.Transaction() != nil {
		return s.runInTransaction(st, arrived)
	}
	if !s.route() {
		return noDatabase
	}
	return s.runSingle(st, arrived)
}

// begin opens a transaction. The endpoint is told with the first statement, so
// that no connection is held before.
func (s *sessionServer) begin(st session.Statement, arrived time.Time) Reply {
	if s.state.Transaction() != nil {
		return s.failed(CodeMalformed, "a transaction is open")
	}
	if !s.route() {
		return noDatabase
	}
	s.state.Begin(st.Op == session.OpBeginRead, arrived)
	return s.reply(CodeNone, "")
}

// noDatabase answers outside a transaction for a database that is not configured.
var noDatabase = Reply{Code: CodeNoDatabase, Detail: "no database of this name is configured"}

// route takes the newest configuration of the caller's database. It returns false if
// there is none.
func (s *sessionServer) route() bool {
	db, ok := s.gateway.database(s.caller.Database())
	if ok {
		s.db = db
	}
	return ok
}

// rollback ends a transaction. Its connection is told after the answer.
func (s *sessionServer) rollback() Reply {
	if s.state.Transaction() == nil {
		return s.reply(CodeMalformed, "no transaction is open")
	}
	s.state.End()
	return s.reply(CodeNone, "")
}

// settle rolls back on the connection of a transaction that has ended, and
// returns the connection.
func (s *sessionServer) settle() {
	if s.pinned == nil || s.state.Transaction() != nil {
		return
	}
	s.gateway.rollbackOn(s.pinned)
	s.pinned = nil
}

// abandon ends the session.
func (s *sessionServer) abandon() {
	s.state.End()
	s.settle()
	s.caller.Close()
}

// failTransaction marks the open transaction as failed and gives its connection
// back.
func (s *sessionServer) failTransaction(reason metrics.Name) {
	tx := s.state.Transaction()
	if tx == nil {
		return
	}
	tx.Failed = true
	s.gateway.metrics.Inc(reason)
	if s.pinned != nil {
		s.gateway.rollbackOn(s.pinned)
		s.pinned = nil
	}
}

// reply returns an answer with the transaction's state.
func (s *sessionServer) reply(code Code, detail string) Reply {
	r := Reply{Code: code, Detail: detail}
	if tx := s.state.Transaction(); tx != nil {
		r.State = TxOpen
		if tx.Failed {
			r.State = TxFailed
		}
	}
	return r
}

// failed returns an error that fails the open transaction.
func (s *sessionServer) failed(code Code, detail string) Reply {
	if tx := s.state.Transaction(); tx != nil {
		tx.Failed = true
	}
	return s.reply(code, detail)
}

// callerContext bounds the work for one statement.
func (s *sessionServer) callerContext(arrived time.Time) (context.Context, context.CancelFunc) {
	left := s.db.Timeout - boottime.Now().Sub(arrived)
	return context.WithTimeout(s.gateway.ctx, left)
}
