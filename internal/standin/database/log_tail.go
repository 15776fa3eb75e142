package database

import "context"

// tailLength is the minimum number of newest entries that are kept in memory, if the log
// has that many.
const tailLength = 1024

// logTail caches the newest entries of the log without gaps, so that the log table is not
// read to apply entries or to serve replicas that are almost up to date. It is guarded by
// the endpoint's mu. Slices that it returns are not changed later.
type logTail struct {
	entries []receivedEntry
}

func (t *logTail) add(e receivedEntry) {
	if n := len(t.entries); n > 0 && t.entries[n-1].Offset+1 != e.Offset {
		t.entries = nil
	}
	if len(t.entries) >= 2*tailLength {
		t.entries = append([]receivedEntry(nil), t.entries[tailLength:]...)
	}
	t.entries = append(t.entries, e)
}

func (t *logTail) clear() { t.entries = nil }

// after returns up to logBatchSize entries after the offset. It returns false if the tail
// does not reach back that far.
func (t *logTail) after(offset uint64) ([]receivedEntry, bool) {
	if len(t.entries) == 0 || offset+1 < t.entries[0].Offset {
		return nil, false
	}
	skip := min(int(offset+1-t.entries[0].Offset), len(t.entries))
	rest := t.entries[skip:]
	return rest[:min(len(rest), logBatchSize):min(len(rest), logBatchSize)], true
}

// termAt returns the term of the entry at the offset. It returns false if the entry is
// not in the tail.
func (t *logTail) termAt(offset uint64) (uint64, bool) {
	if len(t.entries) == 0 || offset < t.entries[0].Offset {
		return 0, false
	}
	i := int(offset - t.entries[0].Offset)
	if i >= len(t.entries) {
		return 0, false
	}
	return t.entries[i].Term, true
}

// entriesAfter returns up to logBatchSize entries after the offset.
func (ep *endpoint) entriesAfter(ctx context.Context, offset uint64) ([]receivedEntry, error) {
	ep.mu.RLock()
	entries, ok := ep.tail.after(offset)
	ep.mu.RUnlock()
	if ok {
		return entries, nil
	}
	return readEntries(ctx, ep.store.readers, offset, logBatchSize)
}

// termAt returns the term of the entry at the offset, or 0 if there is none; writeLock
// must be held.
func (ep *endpoint) termAt(offset uint64) (uint64, error) {
	ep.mu.RLock()
	term, ok := ep.tail.termAt(offset)
	ep.mu.RUnlock()
	if ok {
		return term, nil
	}
	return termAt(ep.store.writer, offset)
}
