package database

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Entry is one committed write transaction in the log. The marker of a term has
// no statements.
type Entry struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
	// CommittedAt is the primary's time of commit, in nanoseconds since 1970.
	CommittedAt int64       `json:"committed_at"`
	Statements  []Statement `json:"statements,omitempty"`
}

// Statement is one statement of an entry with its parameters.
type Statement struct {
	SQL    string  `json:"sql"`
	Values []Value `json:"values,omitempty"`
}

// Position returns the entry's place in the log.
func (e Entry) Position() logpos.Position {
	return logpos.Position{Term: e.Term, Offset: e.Offset}
}

// TermRange is the part of a log that was written in one term.
type TermRange struct {
	Term  uint64 `json:"term"`
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
}

// commonOffset returns the last offset at which two logs hold the same entry.
// One term has one primary, so equal term and offset mean an equal prefix.
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
