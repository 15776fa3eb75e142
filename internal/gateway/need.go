package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// boundMargin is subtracted from the permitted age of data. It covers the difference
// between the rates of the hosts' clocks over that age, a few hundred parts in a million of
// seconds. Nothing else needs a margin: a read counts from after its arrival, and a sample
// from before its request was sent, here or on the way between hosts.
const boundMargin = 10 * time.Millisecond

// need is what work requires of an endpoint.
type need struct {
	// primary work runs on the primary only.
	primary bool
	// floor is the session's last commit.
	floor logpos.Position
	// freshAt is the time before which every commit must be visible.
	freshAt time.Time
	// avoid names endpoints that refused the work before.
	avoid map[string]bool
}

// newNeed returns the need of work that arrived at the time.
func newNeed(db Database, floor logpos.Position, arrived time.Time, primary bool) need {
	n := need{primary: primary || db.Consistency == ConsistencyPrimary, avoid: map[string]bool{}}
	n.freshAt = arrived.Add(boundMargin - db.MaxStaleness)
	if db.Consistency == ConsistencySession {
		n.floor = floor
	}
	return n
}

// choice is an endpoint with the position that it must hold.
type choice struct {
	target *target
	after  logpos.Position
}

// choose returns the endpoint that is expected to answer soonest, or no target if
// none can serve the work now. The group's mutex must be held.
func (g *group) choose(now time.Time, n need) choice {
	leader := g.leader(now)
	if leader != nil && !leader.usable(now) {
		leader = nil
	}
	if n.primary {
		return choice{target: leader}
	}
	after, ok := g.bound(n)
	if !ok {
		return choice{target: leader}
	}
	// reserve stands in if no endpoint is admitted by its health.
	best, reserve := choice{}, choice{}
	consider := func(c choice) {
		if reserve.target == nil || g.cheaper(c.target, reserve.target) {
			reserve = c
		}
		if g.health.Admit(c.target.ID) && (best.target == nil || g.cheaper(c.target, best.target)) {
			best = c
		}
	}
	if leader != nil && !n.avoid[leader.ID] {
		consider(choice{target: leader})
	}
	for _, t := range g.targets {
		if t == leader || t.ID == g.primary || t.leaving(now) || !t.usable(now) || n.avoid[t.ID] {
			continue
		}
		if t.lag.LikelyCovers(now, after, g.staleness) {
			consider(choice{target: t, after: after})
		}
	}
	if best.target == nil {
		return reserve
	}
	return best
}

// cheaper reports whether a is expected to answer sooner than b.
func (g *group) cheaper(a, b *target) bool {
	return g.cost(a) < g.cost(b)
}

// primaryReserve is the time that a read must save at the primary to be sent there. It
// is about half of a statement's run: a replica that is free, or nearly so, leaves the
// primary's slots to work that only the primary may do. Load: a crest of writes and
// strict reads beside reads that any endpoint may serve.
const primaryReserve = 10 * time.Millisecond

// cost is the expected time of work at the target, with what it should save to be used.
func (g *group) cost(t *target) time.Duration {
	cost := t.expectedWait()
	if t.AvailabilityZone != g.pool.zone {
		cost += g.pool.zoneDistance
	}
	if t.ID == g.primary {
		cost += primaryReserve
	}
	return cost
}

// bound returns the position that a replica must hold for the work. It returns
// false if what this host knows of the primary is too old.
func (g *group) bound(n need) (logpos.Position, bool) {
	after, ok := g.staleness.PositionCovering(n.freshAt)
	if !ok {
		return logpos.Position{}, false
	}
	floor := n.floor
	if floor.Term < g.term && !floor.IsZero() {
		floor = g.start
	}
	return logpos.Max(after, floor), true
}
