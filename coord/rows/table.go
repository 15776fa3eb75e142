package rows

import (
	"cmp"
	"slices"
)

// Table is a mirror of one table. It is not safe for concurrent use.
type Table struct {
	rows    map[string]Row
	through uint64
}

// NewTable returns an empty mirror.
func NewTable() *Table { return &Table{rows: make(map[string]Row)} }

// Through returns the version up to which the mirror has every change.
func (t *Table) Through() uint64 { return t.through }

// Apply merges all changes after the version from and up to the version through. It
// returns the rows that changed. If from is above Through, the changes are merged but do
// not advance Through, since other changes may be missing in the gap.
//
// Changes up to Through are ignored, since the mirror has them: a row among them that is not
// in the mirror has been removed, and a listing does not tell at which version.
func (t *Table) Apply(changes []Row, from, through uint64) []Row {
	var changed []Row
	for _, r := range changes {
		if r.Version > t.through && t.merge(r) {
			changed = append(changed, r)
		}
	}
	if from <= t.through && through > t.through {
		t.through = through
	}
	return changed
}

// Replace merges a complete listing as of the version. Rows that the listing lacks and that
// are not newer than the listing are marked as deleted. It returns the rows that changed.
func (t *Table) Replace(listing []Row, version uint64) []Row {
	if version < t.through {
		return nil
	}
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	var changed []Row
	for key, r := range t.rows {
		if listed[key] || r.Deleted || r.Version > version {
			continue
		}
		tombstone := Row{Key: key, Version: version, Deleted: true}
		t.rows[key] = tombstone
		changed = append(changed, tombstone)
	}
	for _, r := range listing {
		if t.merge(r) {
			changed = append(changed, r)
		}
	}
	t.through = version
	return changed
}

// merge stores the row if the mirror has no row with its key or an older version, and
// reports whether it stored it.
func (t *Table) merge(r Row) bool {
	if stored, ok := t.rows[r.Key]; ok && stored.Version >= r.Version {
		return false
	}
	t.rows[r.Key] = r
	return true
}

// Get returns the row with the key; false if there is none or it is deleted.
func (t *Table) Get(key string) (Row, bool) {
	r, ok := t.rows[key]
	return r, ok && !r.Deleted
}

// Live returns the rows that are not deleted, ordered by key.
func (t *Table) Live() []Row {
	live := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		if !r.Deleted {
			live = append(live, r)
		}
	}
	slices.SortFunc(live, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return live
}

// Since returns all rows with a version above the given one, including deleted rows,
// ordered by version.
func (t *Table) Since(version uint64) []Row {
	var newer []Row
	for _, r := range t.rows {
		if r.Version > version {
			newer = append(newer, r)
		}
	}
	slices.SortFunc(newer, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
	return newer
}
