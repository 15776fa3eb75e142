// Package logpos defines positions in a database group's replicated log.
package logpos

import (
	"cmp"
	"fmt"
)

// Limits of terms and offsets from outside. Counting reaches neither, and a value near the
// end of uint64 would make every later one look old.
const (
	MaxTerm   = 1 << 40
	MaxOffset = 1 << 56
)

// Position is a place in a group's log. Positions are ordered by term first. Offsets of
// different terms cannot be compared, since an endpoint that follows a new primary may
// truncate its log.
type Position struct {
	// Term is the term in which the log entry was written.
	Term uint64 `json:"term"`
	// Offset is the entry's place in the log, counted from 1; 0 stands for an empty log.
	Offset uint64 `json:"offset"`
}

// Compare returns -1, 0 or 1 as p is before, at or after o.
func (p Position) Compare(o Position) int {
	if c := cmp.Compare(p.Term, o.Term); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, o.Offset)
}

// Less reports whether p is before o.
func (p Position) Less(o Position) bool { return p.Compare(o) < 0 }

// Covers reports whether a log that ends at p contains everything up to o.
func (p Position) Covers(o Position) bool { return p.Compare(o) >= 0 }

// InRange reports whether the term and the offset are within their limits.
func (p Position) InRange() bool { return p.Term <= MaxTerm && p.Offset <= MaxOffset }

// IsZero reports whether p is the start of an empty log.
func (p Position) IsZero() bool { return p == Position{} }

// String formats p as "term/offset".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Term, p.Offset) }

// Max returns the later of a and b.
func Max(a, b Position) Position {
	if a.Less(b) {
		return b
	}
	return a
}

// Parse parses the form that String returns.
func Parse(s string) (Position, error) {
	var p Position
	if _, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Offset); err != nil {
		return Position{}, fmt.Errorf("position %q: %w", s, err)
	}
	return p, nil
}
