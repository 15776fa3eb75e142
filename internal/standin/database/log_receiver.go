package database

import (
	"context"
	"database/sql"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const (
	retryDelay = 20 * time.Millisecond
	// longPollTimeout is how long the primary waits for new entries before it answers a
	// request for the log.
	longPollTimeout = 500 * time.Millisecond
	// receiveTimeout bounds a request for the log, because a primary that is cut off does
	// not answer.
	receiveTimeout = 2 * time.Second
)

var errStalePrimary = errors.New("log of a primary of a lower term refused")

// logReceiver copies log entries from the primary that the endpoint follows.
type logReceiver struct {
	ep      *endpoint
	conn    *pgconn.PgConn
	primary string
}

// run receives entries until ctx ends.
func (r *logReceiver) run(ctx context.Context) {
	defer r.disconnect()
	for ctx.Err() == nil {
		if err := r.receiveNext(ctx); err != nil {
			r.disconnect()
			_ = sleep(ctx, retryDelay)
		}
	}
}

func (r *logReceiver) disconnect() {
	if r.conn != nil {
		_ = r.conn.Conn().Close()
		r.conn = nil
	}
}

// receiveNext waits until the endpoint is a replica, and receives one page of the log.
func (r *logReceiver) receiveNext(ctx context.Context) error {
	replica := func() bool { return r.ep.state.role() == platform.RoleReplica }
	if err := r.ep.waitUntil(ctx, replica); err != nil {
		return err
	}
	if err := r.ep.faults.waitWhile(ctx, Faults.replicationBlocked); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state, end := r.ep.stateAndLogEnd()
	go r.cancelWhenPrimaryChanges(ctx, cancel, state.Primary)
	receiveCtx, cancelReceive := context.WithTimeout(ctx, receiveTimeout)
	defer cancelReceive()
	if err := r.connect(receiveCtx, state.Primary); err != nil {
		return err
	}
	page, err := r.fetch(receiveCtx, end)
	if err != nil {
		return err
	}
	return r.ep.storePage(ctx, page, end, state.Primary)
}

// cancelWhenPrimaryChanges calls cancel when the endpoint follows another primary.
// Otherwise the replica would be delayed by an old primary that does not answer, or by
// a long receive lag.
func (r *logReceiver) cancelWhenPrimaryChanges(ctx context.Context, cancel context.CancelFunc, primary string) {
	changed := func() bool { return r.ep.state.Primary != primary }
	if r.ep.waitUntil(ctx, changed) == nil {
		cancel()
	}
}

// stateAndLogEnd returns the control state and the position of the last received entry.
func (ep *endpoint) stateAndLogEnd() (controlState, logpos.Position) {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.state, ep.received
}

func (r *logReceiver) connect(ctx context.Context, primary string) error {
	if r.conn != nil && r.primary == primary {
		return nil
	}
	r.disconnect()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://%s@%s/postgres?sslmode=disable", ReplicationUser, primary))
	if err != nil {
		return err
	}
	r.conn = conn
	r.primary = primary
	return nil
}

func (r *logReceiver) fetch(ctx context.Context, after logpos.Position) (logPage, error) {
	var page logPage
	query := fmt.Sprintf("SELECT platform_log_entries(%d, %d, %d)", after.Term, after.Offset, longPollTimeout.Milliseconds())
	results, err := r.conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return page, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return page, errors.New("the answer of platform_log_entries does not have one row")
	}
	return page, json.Unmarshal(results[0].Rows[0][0], &page)
}

// storePage appends the entries of a page to the log, each after the receive lag. If the
// logs do not match, it removes the entries that the primary does not have.
func (ep *endpoint) storePage(ctx context.Context, page logPage, after logpos.Position, primary string) error {
	if !page.Matches {
		return ep.removeDivergedEntries(ctx, page, after, primary)
	}
	for len(page.Entries) > 0 {
		first := page.Entries[0]
		due := func(f Faults) time.Time { return time.Unix(0, first.CommittedAt).Add(f.ReceiveLag) }
		if err := ep.faults.sleepUntil(ctx, due); err != nil {
			return err
		}
		if err := ep.faults.waitWhile(ctx, Faults.replicationBlocked); err != nil {
			return err
		}
		n := ep.countDue(page.Entries)
		if err := ep.storeEntries(ctx, page, page.Entries[:n], after, primary); err != nil {
			return err
		}
		after = page.Entries[n-1].Position()
		page.Entries = page.Entries[n:]
	}
	return nil
}

// countDue returns the number of entries whose receive lag has passed. The first entry
// always counts.
func (ep *endpoint) countDue(entries []Entry) int {
	f, _ := ep.faults.snapshot()
	n := 1
	for n < len(entries) && time.Since(time.Unix(0, entries[n].CommittedAt)) >= f.ReceiveLag {
		n++
	}
	return n
}

// storeEntries appends entries of the page to the log.
func (ep *endpoint) storeEntries(
	ctx context.Context, page logPage, entries []Entry, after logpos.Position, primary string,
) error {
	if err := ep.writeLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer ep.writeLock.Release(1)
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.acceptPage(page, after, primary); err != nil {
		return err
	}
	tx, err := ep.store.begin()
	if err != nil {
		return err
	}
	now := time.Now()
	for _, e := range entries {
		if err := ep.store.appendEntry(tx, receivedEntry{Entry: e, receivedAt: now}); err != nil {
			_ = tx.Rollback()
			return err
		}
	}
	if err := tx.Commit(); err != nil {
		return err
	}
	for _, e := range entries {
		ep.tail.add(receivedEntry{Entry: e, receivedAt: now})
	}
	ep.setPositions(entries[len(entries)-1].Position(), ep.applied)
	return nil
}

// acceptPage returns an error if the page must not change the log; mu must be held. A
// page from a primary of a higher term raises the replica's term.
func (ep *endpoint) acceptPage(page logPage, after logpos.Position, primary string) error {
	s := ep.state
	if s.role() != platform.RoleReplica || s.Primary != primary || ep.received != after {
		return errors.New("log state changed while the page was fetched")
	}
	if page.AppointedTerm < s.Term || page.Role != string(platform.RolePrimary) {
		return errStalePrimary
	}
	if page.AppointedTerm == s.Term {
		return nil
	}
	s.Term = page.AppointedTerm
	s.Holder = page.Holder
	s.AppointedTerm = page.AppointedTerm
	return ep.setState(s)
}

// removeDivergedEntries removes the entries that the primary does not have, and rebuilds the
// tables if some of them were applied.
func (ep *endpoint) removeDivergedEntries(ctx context.Context, page logPage, after logpos.Position, primary string) error {
	if err := ep.writeLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer ep.writeLock.Release(1)
	own, err := termRanges(ep.store.writer)
	if err != nil {
		return err
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.acceptPage(page, after, primary); err != nil {
		return err
	}
	return ep.truncate(commonOffset(own, page.Ranges))
}

// truncate removes the log entries after the offset; writeLock and mu must be held.
func (ep *endpoint) truncate(offset uint64) error {
	tx, err := ep.store.begin()
	if err != nil {
		return err
	}
	applied, err := ep.store.truncate(tx, offset, ep.applied)
	if err != nil {
		_ = tx.Rollback()
		return err
	}
	end, err := logEnd(tx)
	if err != nil {
		_ = tx.Rollback()
		return err
	}
	if err := tx.Commit(); err != nil {
		return err
	}
	ep.tail.clear()
	ep.descriptions.clear()
	ep.setPositions(end, applied)
	return nil
}

// truncate removes the log entries after the offset. If some of them were applied, it
// rebuilds the tables from the remaining log. It returns the new applied position.
func (s *store) truncate(q *sql.Tx, offset uint64, applied logpos.Position) (logpos.Position, error) {
	ctx := context.Background()
	if _, err := q.ExecContext(ctx, "DELETE FROM platform_log WHERE log_offset > ?", int64(offset)); err != nil {
		return applied, err
	}
	if applied.Offset <= offset {
		return applied, nil
	}
	if err := dropTables(q); err != nil {
		return applied, err
	}
	return s.rebuild(ctx, q)
}

// rebuild applies the whole log to empty tables.
func (s *store) rebuild(ctx context.Context, q *sql.Tx) (logpos.Position, error) {
	var end logpos.Position
	for {
		entries, err := readEntries(ctx, q, end.Offset, logBatchSize)
		if err != nil {
			return end, err
		}
		if len(entries) == 0 {
			return end, s.setApplied(q, end)
		}
		for _, e := range entries {
			if err := applyEntry(q, e.Entry); err != nil {
				return end, err
			}
			end = e.Position()
		}
	}
}
