package gateway

import (
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
)

// group is one database group as this host sees it. The mutex guards all fields
// and those of the group's targets.
type group struct {
	name string
	pool *pool

	mu      sync.Mutex
	config  Group
	targets map[string]*target
	// term and primary are the newest leadership that this host knows of; primary
	// is empty if the term's primary is lost.
	term    uint64
	primary string
	// start is the first position seen in the term. It covers every commit of
	// earlier terms that was kept.
	start logpos.Position
	// seenTerm is the newest term that any endpoint has told of.
	seenTerm uint64
	// fence is the newest claim, learned at fencedAt.
	fence    FenceState
	fencedAt time.Time
	// cutOffUntil is until when this host counts as cut off from the primary.
	cutOffUntil time.Time
	staleness   *routing.Staleness
	// health weighs the endpoints by how the statements on them went, whatever their
	// entries say. Load: endpoints that fail or swallow part of their requests.
	health *routing.Health
	// changed is closed and replaced whenever waiting sessions should look again.
	changed chan struct{}
}

// newGroup returns a group whose primary is not known.
func newGroup(name string, p *pool) *group {
	return &group{
		name: name, pool: p, targets: make(map[string]*target),
		staleness: routing.NewStaleness(), health: routing.NewHealth(), changed: make(chan struct{}),
	}
}

// notify wakes the sessions that wait for a change.
func (g *group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// leader returns the target that may be used as primary, or nil.
func (g *group) leader(now time.Time) *target {
	if g.fenced() || !g.pool.permitted(now) {
		return nil
	}
	return g.targets[g.primary]
}

// leads reports whether the target may still be used as primary, so that a write
// that it has answered may be confirmed.
func (g *group) leads(now time.Time, t *target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leader(now) == t
}

// lead records that the endpoint is the primary of the term. It returns false if
// a newer term is known.
func (g *group) lead(term uint64, id string, position logpos.Position) bool {
	if term < g.term || (term == g.term && g.primary == id) {
		return false
	}
	if term > g.term {
		g.staleness = routing.NewStaleness()
		g.start = position
	}
	g.term, g.primary = term, id
	g.notify()
	return true
}

// sample records that the primary's log ended at the position at the time or
// later.
func (g *group) sample(at time.Time, p logpos.Position) {
	if p.Term != g.term {
		return
	}
	if g.start.Term != g.term {
		g.start = p
	}
	g.staleness.Sample(at, p)
}
