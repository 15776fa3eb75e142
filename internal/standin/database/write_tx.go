package database

import (
	"context"
	"database/sql"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// writeTx is a client's write transaction. It holds the endpoint's write lock
// only while a statement runs or until the end of an implicit transaction:
// inside a block its statements are repeated before the next one and at COMMIT,
// so that an open transaction blocks no other writer. If a repeated statement
// has another result than the client was told, the transaction fails with
// SQLSTATE 40001.
type writeTx struct {
	ep *endpoint
	// term is the term in which the client's transaction began.
	term uint64

	mu sync.Mutex
	// tx is the open engine transaction, nil while the write lock is not held.
	tx    *sql.Tx
	done  bool
	steps []step
	ddl   bool
}

// acquire takes the write lock, opens an engine transaction and repeats the
// statements so far.
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
	if err := w.repeat(ctx); err != nil {
		w.end()
		return err
	}
	return nil
}

func (w *writeTx) abortedError() error {
	return newError(stateReadOnly, "transaction of term %d was aborted by a change of the term", w.term)
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
	w.ep.active = w
	return nil
}

func (w *writeTx) repeat(ctx context.Context) error {
	for _, s := range w.steps {
		if err := s.repeat(ctx, w.tx); err != nil {
			return err
		}
	}
	return nil
}

func (ep *endpoint) checkWritable(term uint64) error {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.checkWritableLocked(term)
}

func (ep *endpoint) checkWritableLocked(term uint64) error {
	if role := ep.state.role(); role != platform.RolePrimary {
		return newError(stateReadOnly, messageReadOnlyTemplate+": endpoint is %s", "write", role)
	}
	if ep.state.AppointedTerm != term {
		return newError(stateReadOnly, "transaction began in term %d, endpoint is primary of term %d",
			term, ep.state.AppointedTerm)
	}
	return nil
}

// run calls work inside the transaction, unless it was aborted.
func (w *writeTx) run(work func(q querier) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done || w.tx == nil {
		return w.abortedError()
	}
	return work(w.tx)
}

// park gives the write lock back between two statements of a block.
func (w *writeTx) park() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tx != nil {
		_ = w.tx.Rollback()
		w.release()
	}
}

func (w *writeTx) record(s step) {
	w.steps = append(w.steps, s)
	w.ddl = w.ddl || s.statement.ddl
}

// logged returns the statements of the log entry.
func (w *writeTx) logged() []Statement {
	var out []Statement
	for _, s := range w.steps {
		if s.statement.command == commandWrite {
			out = append(out, Statement{SQL: s.statement.sql, Values: encodeValues(s.args)})
		}
	}
	return out
}

// commit appends the entry to the log in the same engine transaction as the
// changes. The term is checked under the lock that AdvanceTerm takes.
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
	statements := w.logged()
	if len(statements) == 0 {
		return w.tx.Rollback()
	}
	entry := ep.nextEntry(w.term, statements)
	if err := ep.commitEntry(w.tx, entry); err != nil {
		return err
	}
	ep.logGrew(entry.Position(), entry.Position())
	if w.ddl {
		ep.catalog.clear()
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

// commitEntry appends an applied entry and commits; mu must be held.
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

// logGrew publishes positions after a commit; mu must be held.
func (ep *endpoint) logGrew(received, applied logpos.Position) {
	ep.received = received
	ep.applied = applied
	ep.signal()
}

func (w *writeTx) rollback() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end()
}

// end rolls back for good; w.mu must be held.
func (w *writeTx) end() {
	w.done = true
	if w.tx != nil {
		_ = w.tx.Rollback()
		w.release()
	}
}

// release gives the write lock back after the end of the engine transaction;
// w.mu must be held.
func (w *writeTx) release() {
	w.tx = nil
	w.ep.writeLock.Release(1)
}

// abortActive rolls back the transaction of an earlier term that may hold the
// write lock. Others find the changed term when they run their next statement.
func (ep *endpoint) abortActive() {
	ep.mu.Lock()
	w := ep.active
	ep.active = nil
	ep.mu.Unlock()
	if w != nil {
		w.rollback()
	}
}
