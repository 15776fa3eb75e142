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
// until it is committed, rolled back or aborted by a change of the term.
type writeTx struct {
	ep *endpoint
	// term is the term in which the client's transaction began.
	term uint64

	mu         sync.Mutex
	tx         *sql.Tx
	done       bool
	statements []Statement
	ddl        bool
}

// beginWrite opens a write transaction for a client's transaction that began at
// the term.
func (ep *endpoint) beginWrite(ctx context.Context, term uint64) (*writeTx, error) {
	if err := ep.checkWritable(term); err != nil {
		return nil, err
	}
	if err := ep.writeLock.Acquire(ctx, 1); err != nil {
		return nil, err
	}
	w := &writeTx{ep: ep, term: term}
	if err := w.open(); err != nil {
		ep.writeLock.Release(1)
		return nil, err
	}
	return w, nil
}

func (w *writeTx) open() error {
	tx, err := w.ep.store.begin()
	if err != nil {
		return err
	}
	w.tx = tx
	w.ep.mu.Lock()
	defer w.ep.mu.Unlock()
	if err := w.ep.checkWritableLocked(w.term); err != nil {
		_ = tx.Rollback()
		return err
	}
	w.ep.active = w
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
	if w.done {
		return newError(stateReadOnly, "transaction of term %d was aborted by a change of the term", w.term)
	}
	return work(w.tx)
}

func (w *writeTx) record(st Statement, ddl bool) {
	w.statements = append(w.statements, st)
	w.ddl = w.ddl || ddl
}

// commit appends the entry to the log in the same engine transaction as the
// changes. The term is checked under the lock that AdvanceTerm takes.
func (w *writeTx) commit() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return newError(stateReadOnly, "transaction of term %d was aborted by a change of the term", w.term)
	}
	defer w.finish()
	ep := w.ep
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.checkWritableLocked(w.term); err != nil {
		_ = w.tx.Rollback()
		return err
	}
	if len(w.statements) == 0 {
		return w.tx.Rollback()
	}
	entry := ep.nextEntry(w.term, w.statements)
	if err := commitEntry(w.tx, entry); err != nil {
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

// commitEntry appends an applied entry and commits.
func commitEntry(tx *sql.Tx, e Entry) error {
	err := appendEntry(tx, e, time.Now())
	if err == nil {
		err = setApplied(tx, e.Position())
	}
	if err != nil {
		_ = tx.Rollback()
		return err
	}
	return tx.Commit()
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
	if w.done {
		return
	}
	_ = w.tx.Rollback()
	w.finish()
}

// finish releases the write lock; w.mu must be held.
func (w *writeTx) finish() {
	w.done = true
	w.ep.writeLock.Release(1)
}

// abortActive rolls back the open write transaction of an earlier term.
func (ep *endpoint) abortActive() {
	ep.mu.Lock()
	w := ep.active
	ep.active = nil
	ep.mu.Unlock()
	if w != nil {
		w.rollback()
	}
}
