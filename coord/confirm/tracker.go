// Package confirm tracks up to which position a majority of a group's endpoints has
// received the log of one term, and since when a majority is known to be at that term.
// Owners use it to confirm writes and to check their read lease.
package confirm

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Tracker collects the status answers of one group's endpoints for one term. Each change
// of the term or of the set of endpoints requires a new Tracker. It is not safe for
// concurrent use.
type Tracker struct {
	term      uint64
	majority  int
	endpoints map[string]*endpoint
	// highestTerm is the highest term that an endpoint answered.
	highestTerm uint64
}

// New returns a Tracker without answers. A name that is repeated in endpoints counts once.
func New(term uint64, endpoints []string) *Tracker {
	t := &Tracker{term: term, endpoints: make(map[string]*endpoint, len(endpoints))}
	for _, name := range endpoints {
		t.endpoints[name] = &endpoint{}
	}
	t.majority = len(t.endpoints)/2 + 1
	return t
}

// Observe records the status with which an endpoint answered a poll that started at the
// given time. Answers may arrive in any order. Answers of endpoints outside the group are
// ignored, so that an endpoint that has left the group never counts towards a majority.
func (t *Tracker) Observe(name string, term uint64, received logpos.Position, started time.Time) {
	e, ok := t.endpoints[name]
	if !ok {
		return
	}
	t.highestTerm = max(t.highestTerm, term)
	if term == t.term {
		e.observe(t.term, received, started)
	}
}

// Received returns the largest position of this term that a majority has received, or
// zero if there is none. Positions of earlier terms do not count: even if a majority has
// an entry of an earlier term, a later primary may still truncate it, unless an entry of
// the current term follows it.
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

// LeaseStart returns the latest time T such that a majority answered polls that started
// at T or later with exactly this term. It is zero if no majority has answered. It does
// not consider answers with a higher term; see Superseded.
func (t *Tracker) LeaseStart() time.Time {
	all := make([]time.Time, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		all = append(all, e.pollStarted)
	}
	if len(all) < t.majority {
		return time.Time{}
	}
	slices.SortFunc(all, func(a, b time.Time) int { return b.Compare(a) })
	return all[t.majority-1]
}

// Superseded returns the highest term that an endpoint answered, and whether it is above
// this Tracker's term. If it is, the owner of this term must stop serving.
func (t *Tracker) Superseded() (uint64, bool) { return t.highestTerm, t.highestTerm > t.term }
