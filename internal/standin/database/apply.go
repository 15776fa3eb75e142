package database

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// runApply applies the entries of a replica's log after the apply lag, until ctx ends.
func (ep *endpoint) runApply(ctx context.Context) {
	for ctx.Err() == nil {
		if err := ep.applyNext(ctx); err != nil {
			_ = sleep(ctx, retryDelay)
		}
	}
}

// applyNext waits until the apply lag of the next entry has passed, and applies the
// entries that are due.
func (ep *endpoint) applyNext(ctx context.Context) error {
	if err := ep.waitUntil(ctx, func() bool { return ep.received.Offset > ep.applied.Offset }); err != nil {
		return err
	}
	if err := ep.faults.waitWhile(ctx, Faults.paused); err != nil {
		return err
	}
	entries, err := ep.entriesAfter(ctx, ep.appliedPosition().Offset)
	if err != nil || len(entries) == 0 {
		return err
	}
	due := func(f Faults) time.Time { return entries[0].receivedAt.Add(f.ApplyLag) }
	if err := ep.faults.sleepUntil(ctx, due); err != nil {
		return err
	}
	return ep.applyDue(ctx, entries)
}

// applyDue applies those entries whose apply lag has passed.
func (ep *endpoint) applyDue(ctx context.Context, entries []receivedEntry) error {
	if err := ep.writeLock.Acquire(ctx, 1); err != nil {
		return err
	}
	defer ep.writeLock.Release(1)
	if role := ep.status().Role; role != platform.RoleReplica {
		return nil
	}
	f, _ := ep.faults.snapshot()
	due := 0
	for due < len(entries) && time.Since(entries[due].receivedAt) >= f.ApplyLag {
		due++
	}
	return ep.applyEntries(entries[:due])
}

// applyEntries applies the entries after the applied position; writeLock must be held.
// It does nothing if the entries are no longer the next ones, because the log was
// truncated since they were read.
func (ep *endpoint) applyEntries(entries []receivedEntry) error {
	if len(entries) == 0 {
		return nil
	}
	if ok, err := ep.areNextToApply(entries); err != nil || !ok {
		return err
	}
	tx, err := ep.store.begin()
	if err != nil {
		return err
	}
	last := entries[len(entries)-1].Position()
	for _, e := range entries {
		if err := applyEntry(tx, e.Entry); err != nil {
			_ = tx.Rollback()
			return err
		}
	}
	if err := ep.store.setApplied(tx, last); err != nil {
		_ = tx.Rollback()
		return err
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if err := tx.Commit(); err != nil {
		return err
	}
	if changesSchema(entries) {
		ep.descriptions.clear()
	}
	ep.setPositions(ep.received, last)
	return nil
}

func changesSchema(entries []receivedEntry) bool {
	for _, e := range entries {
		for _, st := range e.Statements {
			if isDDL(st.SQL) {
				return true
			}
		}
	}
	return false
}

// areNextToApply reports whether the entries are in the log and directly follow the
// applied position.
func (ep *endpoint) areNextToApply(entries []receivedEntry) (bool, error) {
	received, applied := ep.positions()
	first, last := entries[0], entries[len(entries)-1]
	if first.Offset != applied.Offset+1 || last.Offset > received.Offset {
		return false, nil
	}
	term, err := ep.termAt(last.Offset)
	return term == last.Term, err
}

// waitUntil waits until ready returns true or ctx ends. ready is called with mu held.
func (ep *endpoint) waitUntil(ctx context.Context, ready func() bool) error {
	for {
		ep.mu.RLock()
		ok, changed := ready(), ep.changed
		ep.mu.RUnlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
