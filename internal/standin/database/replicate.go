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
	// pollWait is how long the primary holds a request for the log open.
	pollWait = 500 * time.Millisecond
	// pullTimeout ends a request that a cut primary does not answer.
	pullTimeout = 2 * time.Second
)

var errRefusedLog = errors.New("log of a primary of a lower term refused")

// puller copies the log of the primary that the endpoint follows.
type puller struct {
	ep      *endpoint
	conn    *pgconn.PgConn
	primary string
}

// run pulls until ctx ends.
func (p *puller) run(ctx context.Context) {
	defer p.disconnect()
	for ctx.Err() == nil {
		if err := p.step(ctx); err != nil {
			p.disconnect()
			_ = sleep(ctx, retryDelay)
		}
	}
}

func (p *puller) disconnect() {
	if p.conn != nil {
		_ = p.conn.Conn().Close()
		p.conn = nil
	}
}

func (p *puller) step(ctx context.Context) error {
	replica := func() bool { return p.ep.state.role() == platform.RoleReplica }
	if err := p.ep.waitChange(ctx, replica); err != nil {
		return err
	}
	if err := p.ep.faults.waitWhile(ctx, Faults.replicationBlocked); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	state, end := p.ep.followed()
	go p.cancelOnFollow(ctx, cancel, state.Primary)
	pullCtx, cancelPull := context.WithTimeout(ctx, pullTimeout)
	defer cancelPull()
	if err := p.connect(pullCtx, state.Primary); err != nil {
		return err
	}
	page, err := p.fetch(pullCtx, end)
	if err != nil {
		return err
	}
	return p.ep.receive(ctx, page, end, state.Primary)
}

// cancelOnFollow ends the pull from a primary that is no longer followed. A
// primary that is cut off, or a long receive lag, would otherwise hold up the
// replica.
func (p *puller) cancelOnFollow(ctx context.Context, cancel context.CancelFunc, primary string) {
	changed := func() bool { return p.ep.state.Primary != primary }
	if p.ep.waitChange(ctx, changed) == nil {
		cancel()
	}
}

func (ep *endpoint) followed() (controlState, logpos.Position) {
	ep.mu.RLock()
	defer ep.mu.RUnlock()
	return ep.state, ep.received
}

func (p *puller) connect(ctx context.Context, primary string) error {
	if p.conn != nil && p.primary == primary {
		return nil
	}
	p.disconnect()
	conn, err := pgconn.Connect(ctx, fmt.Sprintf("postgres://%s@%s/postgres?sslmode=disable", ReplicationUser, primary))
	if err != nil {
		return err
	}
	p.conn = conn
	p.primary = primary
	return nil
}

func (p *puller) fetch(ctx context.Context, after logpos.Position) (logPage, error) {
	var page logPage
	query := fmt.Sprintf("SELECT platform_log_entries(%d, %d, %d)", after.Term, after.Offset, pollWait.Milliseconds())
	results, err := p.conn.Exec(ctx, query).ReadAll()
	if err != nil {
		return page, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return page, errors.New("log answer without a row")
	}
	return page, json.Unmarshal(results[0].Rows[0][0], &page)
}

// receive stores a page after the receive lag.
func (ep *endpoint) receive(ctx context.Context, page logPage, after logpos.Position, primary string) error {
	if !page.Matches {
		return ep.cutBack(ctx, page, after, primary)
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
		n := ep.arrived(page.Entries)
		if err := ep.storeEntries(ctx, page, page.Entries[:n], after, primary); err != nil {
			return err
		}
		after = page.Entries[n-1].Position()
		page.Entries = page.Entries[n:]
	}
	return nil
}

// arrived returns how many entries are past the receive lag, at least 1.
func (ep *endpoint) arrived(entries []Entry) int {
	f, _ := ep.faults.get()
	n := 1
	for n < len(entries) && time.Since(time.Unix(0, entries[n].CommittedAt)) >= f.ReceiveLag {
		n++
	}
	return n
}

func (ep *endpoint) storeEntries(
	ctx context.Context, page logPage, entries []Entry, after logpos.Position, primary string,
) error {
	if err := ep.writeLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer ep.writeLock.Release(1)
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := ep.acceptLog(page, after, primary); err != nil {
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
	ep.logGrew(entries[len(entries)-1].Position(), ep.applied)
	return nil
}

// acceptLog decides whether a page may change the log; mu must be held. A
// primary of a higher term raises the replica's term with it.
func (ep *endpoint) acceptLog(page logPage, after logpos.Position, primary string) error {
	s := ep.state
	if s.role() != platform.RoleReplica || s.Primary != primary || ep.received != after {
		return errors.New("log state changed while the page was fetched")
	}
	if page.AppointedTerm < s.Term || page.Role != string(platform.RolePrimary) {
		return errRefusedLog
	}
	if page.AppointedTerm == s.Term {
		return nil
	}
	s.Term = page.AppointedTerm
	s.Holder = page.Holder
	s.AppointedTerm = page.AppointedTerm
	return ep.setState(s)
}

// cutBack removes the entries that the primary does not have, and rebuilds the
// tables if some of them were applied.
func (ep *endpoint) cutBack(ctx context.Context, page logPage, after logpos.Position, primary string) error {
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
	if err := ep.acceptLog(page, after, primary); err != nil {
		return err
	}
	return ep.truncate(commonOffset(own, page.Ranges))
}

// truncate cuts the log back to the offset; writeLock and mu must be held.
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
	ep.catalog.clear()
	ep.logGrew(end, applied)
	return nil
}

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
		entries, err := readEntries(ctx, q, end.Offset, applyChunk)
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
