// Package confirm tracks what a majority of a group's endpoints has received in
// one term, and when a majority was last known to be at that term. An owner
// confirms writes and checks its read lease with it.
package confirm

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Tracker collects the status answers of one group's endpoints for one term. A
// change of term or of the set of endpoints needs a new Tracker. It is not safe
// for concurrent use.
type Tracker struct {
	term      uint64
	majority  int
	endpoints map[string]*endpoint
	highest   uint64
}

// New returns a Tracker without any observation. A name that is repeated in
// endpoints counts once.
func New(term uint64, endpoints []string) *Tracker {
	t := &Tracker{term: term, endpoints: make(map[string]*endpoint, len(endpoints))}
	for _, name := range endpoints {
		t.endpoints[name] = &endpoint{}
	}
	t.majority = len(t.endpoints)/2 + 1
	return t
}

// Observe records the status that an endpoint answered to a poll which was
// started at the given time. Answers may arrive in any order. Answers of
// endpoints outside the group are ignored, so that an endpoint that left the
// group never counts towards a majority.
func (t *Tracker) Observe(name string, term uint64, received logpos.Position, started time.Time) {
	e, ok := t.endpoints[name]
	if !ok {
		return
	}
	t.highest = max(t.highest, term)
	if term == t.term {
		e.observe(t.term, received, started)
	}
}

// Received returns the largest position that a majority has received in this
// term, and zero if there is none. Positions of earlier terms do not count: a
// majority may hold an entry of an earlier term and a later primary may still
// cut it off, unless an entry of the current term follows it.
func (t *Tracker) Received() logpos.Position {
	all := make([]logpos.Position, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, e.received)
	}
	if len(all) < t.majority {
		return logpos.Position{}
	}
	slices.SortFunc(all, func(a, b logpos.Position) int { return b.Compare(a) })
	return all[t.majority-1]
}

// LeaseStart returns the latest time T such that a majority answered with exactly
// this term to polls started at or after T. It is zero while no majority has
// answered. It says nothing about polls that a higher term answered; see
// Superseded.
func (t *Tracker) LeaseStart() time.Time {
	all := make([]time.Time, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, e.started)
	}
	if len(all) < t.majority {
		return time.Time{}
	}
	slices.SortFunc(all, func(a, b time.Time) int { return b.Compare(a) })
	return all[t.majority-1]
}

// Superseded returns the highest term that an endpoint answered, and whether it
// is above this Tracker's term. An owner that sees it must stop serving.
func (t *Tracker) Superseded() (uint64, bool) { return t.highest, t.highest > t.term }
