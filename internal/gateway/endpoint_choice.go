package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// stalenessMargin is subtracted from the allowed staleness. It covers clock drift
// between hosts over that time, which is a few hundred ppm of some seconds. No other
// margin is needed: the age of a read is counted from after its arrival, and a sample
// of the primary's position from before it was requested, both here and in gossip.
const stalenessMargin = 10 * time.Millisecond

// requirement is what a statement requires of its endpoint.
type requirement struct {
	// primary is true if the statement must run on the primary.
	primary bool
	// floor is the position of the session's last commit.
	floor logpos.Position
	// freshAsOf is the time before which every commit must be visible.
	freshAsOf time.Time
	// avoid holds the IDs of endpoints that could not serve the statement before.
	avoid map[string]bool
}

// newRequirement returns the requirement of a statement that arrived at the given time.
func newRequirement(db Database, floor logpos.Position, arrived time.Time, primary bool) requirement {
	req := requirement{primary: primary || db.Consistency == ConsistencyPrimary, avoid: map[string]bool{}}
	req.freshAsOf = arrived.Add(stalenessMargin - db.MaxStaleness)
	if db.Consistency == ConsistencySession {
		req.floor = floor
	}
	return req
}

// choice is a chosen endpoint and the log position that it must have applied.
type choice struct {
	target *target
	after  logpos.Position
	// primary is true if the endpoint was chosen as the primary. It then checks no position, so
	// that only this host's knowledge keeps a read from a replaced primary.
	primary bool
}

// choose returns the endpoint that is expected to answer soonest. The target is
// nil if no endpoint can serve the statement now. The group's mutex must be held.
func (g *group) choose(now time.Time, req requirement) choice {
	able, primaryOnly := g.able(now, req)
	if primaryOnly {
		return firstChoice(able)
	}
	var admitted []choice
	for _, c := range able {
		if g.health.Admit(c.target.ID) {
			admitted = append(admitted, c)
		}
	}
	if len(admitted) == 0 {
		admitted = able
	}
	return g.pick(now, admitted)
}

// firstChoice returns the first choice, or none if there are none.
func firstChoice(choices []choice) choice {
	if len(choices) == 0 {
		return choice{}
	}
	return choices[0]
}

// cheaper reports whether a is expected to answer sooner than b.
func (g *group) cheaper(a, b *target) bool {
	return g.cost(a) < g.cost(b)
}

// primaryPenalty is the time that a read must save to run on the primary instead of a
// replica. It is about half the run time of a statement: reads go to replicas that are
// free or nearly free, which leaves the primary's slots to writes and reads that only
// the primary can serve.
const primaryPenalty = 10 * time.Millisecond

// cost returns the expected time of a statement on the target plus the penalties for
// another zone and for the primary.
func (g *group) cost(t *target) time.Duration { return t.expectedWait() + g.penalty(t) }

// penalty returns the penalties of the target's zone and role.
func (g *group) penalty(t *target) time.Duration {
	cost := time.Duration(0)
	if t.AvailabilityZone != g.pool.zone {
		cost += g.pool.zoneDistance
	}
	if t.ID == g.primary {
		cost += primaryPenalty
	}
	return cost
}

// requiredPosition returns the log position that a replica must have applied. It
// returns false if this host's newest position of the primary is too old to tell.
func (g *group) requiredPosition(req requirement) (logpos.Position, bool) {
	after, ok := g.staleness.PositionCovering(req.freshAsOf)
	if !ok {
		return logpos.Position{}, false
	}
	floor := req.floor
	if floor.Term < g.term && !floor.IsZero() {
		floor = g.termStart
	}
	return logpos.Max(after, floor), true
}
