package database

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Entry is one committed write transaction in the log. The first entry of each term is a
// marker without statements.
type Entry struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
	// CommittedAt is the time of the commit by the primary's clock, in nanoseconds since
	// 1970.
	CommittedAt int64       `json:"committed_at"`
	Statements  []Statement `json:"statements,omitempty"`
}

// Statement is one statement of an entry with its parameters.
type Statement struct {
	SQL    string  `json:"sql"`
	Values []Value `json:"values,omitempty"`
}

// Position returns the entry's position in the log.
func (e Entry) Position() logpos.Position {
	return logpos.Position{Term: e.Term, Offset: e.Offset}
}

// TermRange is the range of offsets in a log that was written in one term.
type TermRange struct {
	Term  uint64 `json:"term"`
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// commonOffset returns the last offset up to which two logs are equal, given their term
// ranges. Each term has only one primary, so logs that have an entry with the same term
// and offset are equal up to this entry.
func commonOffset(a, b []TermRange) uint64 {
	var common uint64
	for _, x := range a {
		for _, y := range b {
			if x.Term == y.Term && x.First == y.First {
				common = max(common, min(x.Last, y.Last))
			}
		}
	}
	return common
}
