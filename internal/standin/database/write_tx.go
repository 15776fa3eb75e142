package database

import (
	"context"
	"database/sql"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// writeTx is a client's write transaction. So that an open transaction blocks no other
// writer, it holds the endpoint's write lock only while a statement runs or, outside a
// transaction block, until it ends. Inside a transaction block the engine transaction is
// rolled back after each statement; all earlier statements are replayed before the next
// statement and before COMMIT. If a replayed statement has another result than was sent
// to the client, the transaction fails with SQLSTATE 40001.
type writeTx struct {
	ep *endpoint
	// term is the only term in which the transaction may commit.
	term uint64

	mu sync.Mutex
	// tx is the open engine transaction. It is nil while the write lock is not held.
	tx       *sql.Tx
	done     bool
	executed []executedStatement
	ddl      bool
}

// acquire takes the write lock, opens an engine transaction and replays the statements
// executed so far. It does nothing if the transaction holds the lock.
func (w *writeTx) acquire(ctx context.Context) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return w.abortedError()
	}
	if w.tx != nil {
		return nil
	}
	if err := w.ep.writeLock.Acquire(ctx, 1); err != nil {
		return err
	}
	if err := w.open(); err != nil {
		w.ep.writeLock.Release(1)
		return err
	}
	if err := w.replay(ctx); err != nil {
		w.end()
		return err
	}
	return nil
}

func (w *writeTx) abortedError() error {
	return newError(sqlStateReadOnly, "transaction of term %d was aborted by a change of the term", w.term)
}

func (w *writeTx) open() error {
	tx, err := w.ep.store.begin()
	if err != nil {
		return err
	}
	w.ep.mu.Lock()
	defer w.ep.mu.Unlock()
	if err := w.ep.checkWritableLocked(w.term); err != nil {
		_ = tx.Rollback()
		return err
	}
	w.tx = tx
	w.ep.activeWrite = w
	return nil
}

func (w *writeTx) replay(ctx context.Context) error {
	for _, s := range w.executed {
		if err := s.replay(ctx, w.tx); err != nil {
			return err
		}
	}
	return nil
}

// checkWritable returns an error unless the endpoint is the primary of the term.
func (ep *endpoint) checkWritable(term uint64) error {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.checkWritableLocked(term)
}

// checkWritableLocked is checkWritable for calling functions that hold mu.
func (ep *endpoint) checkWritableLocked(term uint64) error {
	if role := ep.state.role(); role != platform.RolePrimary {
		return newError(sqlStateReadOnly, messageReadOnlyTemplate+": endpoint is %s", "write", role)
	}
	if ep.state.AppointedTerm != term {
		return newError(sqlStateReadOnly, "transaction began in term %d, endpoint is primary of term %d",
			term, ep.state.AppointedTerm)
	}
	return nil
}

// run runs work in the engine transaction, unless the transaction was aborted.
func (w *writeTx) run(work func(q querier) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done || w.tx == nil {
		return w.abortedError()
	}
	return work(w.tx)
}

// suspend rolls back the engine transaction and gives the write lock back, between two
// statements of a transaction block.
func (w *writeTx) suspend() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tx != nil {
		_ = w.tx.Rollback()
		w.release()
	}
}

func (w *writeTx) record(s executedStatement) {
	w.executed = append(w.executed, s)
	w.ddl = w.ddl || s.statement.ddl
}

// logStatements returns the statements that enter the log: writes, but not locking reads.
func (w *writeTx) logStatements() []Statement {
	var out []Statement
	for _, s := range w.executed {
		if s.statement.command == commandWrite {
			out = append(out, Statement{SQL: s.statement.sql, Values: encodeValues(s.args)})
		}
	}
	return out
}

// commit commits the changes and their log entry in one engine transaction. The term is
// checked under the endpoint's mu, which advanceTerm also takes.
func (w *writeTx) commit(ctx context.Context) error {
	if err := w.acquire(ctx); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return w.abortedError()
	}
	defer func() {
		w.done = true
		w.release()
	}()
	return w.ep.commitWrite(w)
}

func (ep *endpoint) commitWrite(w *writeTx) error {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.checkWritableLocked(w.term); err != nil {
		_ = w.tx.Rollback()
		return err
	}
	statements := w.logStatements()
	if len(statements) == 0 {
		return w.tx.Rollback()
	}
	entry := ep.nextEntry(w.term, statements)
	if err := ep.commitEntry(w.tx, entry); err != nil {
		return err
	}
	ep.setPositions(entry.Position(), entry.Position())
	if w.ddl {
		ep.descriptions.clear()
	}
	return nil
}

func (ep *endpoint) nextEntry(term uint64, statements []Statement) Entry {
	return Entry{
		Term:        term,
		Offset:      ep.received.Offset + 1,
		CommittedAt: time.Now().UnixNano(),
		Statements:  statements,
	}
}

// commitEntry appends the entry to the log as already applied, and commits; mu must be
// held.
func (ep *endpoint) commitEntry(tx *sql.Tx, e Entry) error {
	received := receivedEntry{Entry: e, receivedAt: time.Now()}
	err := ep.store.appendEntry(tx, received)
	if err == nil {
		err = ep.store.setApplied(tx, e.Position())
	}
	if err != nil {
		_ = tx.Rollback()
		return err
	}
	if err := tx.Commit(); err != nil {
		return err
	}
	ep.tail.add(received)
	return nil
}

// setPositions sets the received and applied positions after a commit; mu must be held.
func (ep *endpoint) setPositions(received, applied logpos.Position) {
	ep.received = received
	ep.applied = applied
	ep.notifyChange()
}

func (w *writeTx) rollback() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
}

// end rolls the transaction back and marks it as done; w.mu must be held.
func (w *writeTx) end() {
	w.done = true
	if w.tx != nil {
		_ = w.tx.Rollback()
		w.release()
	}
}

// release gives the write lock back after the engine transaction has ended; w.mu must
// be held.
func (w *writeTx) release() {
	w.tx = nil
	w.ep.writeLock.Release(1)
}

// abortActiveWrite rolls back the transaction that may hold the write lock. Other
// transactions of earlier terms fail at their next statement, because the term has
// changed.
func (ep *endpoint) abortActiveWrite() {
	ep.mu.Lock()
	w := ep.activeWrite
	ep.activeWrite = nil
	ep.mu.Unlock()
	if w != nil {
		w.rollback()
	}
}
