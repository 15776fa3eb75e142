package gateway

import (
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// group is the state of one database group as this host knows it. The mutex guards all
// fields and those of the group's targets.
type group struct {
	name string
	pool *pool

	mu      sync.Mutex
	config  Group
	targets map[string]*target
	// replicaSet holds the endpoints that may have acknowledged commits, if the group has
	// synchronous replication.
	replicaSet replicaSetRecord
	// term and primary are the newest known term and the ID of its primary; primary is
	// empty if that primary is lost.
	term    uint64
	primary string
	// termStart is the first known position of the term. It covers every commit of
	// earlier terms that was kept.
	termStart logpos.Position
	// highestSeenTerm is the highest term that any endpoint has reported.
	highestSeenTerm uint64
	// fence is the newest claim that fences a primary; fencedAt is when this host
	// learned of it.
	fence    FenceState
	fencedAt time.Time
	// cutOffUntil is until when this host counts as cut off from the primary.
	cutOffUntil time.Time
	// lastPrimarySend is the last statement that this host sent to a primary of the group.
	lastPrimarySend primarySend
	staleness       *routing.Staleness
	// health weights the endpoints by the results of the statements on them, regardless
	// of the state that they report. It detects endpoints that fail or drop part of
	// their requests.
	health *routing.Health
	// changed is closed and replaced to wake the sessions that wait for a usable
	// endpoint.
	changed chan struct{}
}

// primarySend is a statement that was sent to the primary of a term. It is kept for the log: after
// a change of primary it tells whether a host has sent one too late.
type primarySend struct {
	at       time.Time
	endpoint string
	term     uint64
}

// newGroup returns a group without a known primary.
func newGroup(name string, p *pool) *group {
	return &group{
		name: name, pool: p, targets: make(map[string]*target),
		staleness: routing.NewStaleness(), health: routing.NewHealth(), changed: make(chan struct{}),
	}
}

// notify wakes the sessions that wait for a change of the group's state.
func (g *group) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// usablePrimary returns the primary if this host may use it now, otherwise nil.
func (g *group) usablePrimary(now time.Time) *target {
	if g.primaryExclusion(now) != notExcluded {
		return nil
	}
	return g.targets[g.primary]
}

// mayUseAsPrimary reports whether the target is still the usable primary, so that a
// write that it has answered may be confirmed.
func (g *group) mayUseAsPrimary(now time.Time, t *target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usablePrimary(now) == t
}

// setPrimary records the primary of a term. It returns false if the term is older than
// the known one or nothing changes.
func (g *group) setPrimary(term uint64, id string, position logpos.Position) bool {
	if term < g.term || (term == g.term && g.primary == id) {
		return false
	}
	if term > g.term {
		g.staleness = routing.NewStaleness()
		g.termStart = position
	}
	g.term, g.primary = term, id
	g.pool.log.Info().Str("group", g.name).Str("primary", id).Uint64("term", term).Stringer("position", position).
		Uint64("claim", g.fence.Version).Uint64("claim_term", g.fence.Term).
		Uint64("ended_term", g.fence.EndedTerm).Bool("fenced", g.fenced()).Bool("unclaimed", g.unclaimed()).
		Int64("boot_ms", boottime.Milliseconds(boottime.Now())).Msg("primary known")
	g.notify()
	return true
}

// recordPrimaryPosition records that the primary's log ended at position p at the given
// time or later.
//
// The position proves how fresh a replica is only if no other primary had commits of its own
// at that time. This holds if this host was permitted to use the primary then, all earlier
// terms have ended, and no claim on the term is known. The answer may arrive after the
// permission has ended.
func (g *group) recordPrimaryPosition(at time.Time, p logpos.Position) {
	if p.Term != g.term {
		return
	}
	if g.termStart.Term != g.term {
		g.termStart = p
	}
	if g.primaryInForce() && g.pool.primaryPermitted(at) {
		g.staleness.Sample(at, p)
	}
}
