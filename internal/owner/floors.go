package owner

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
)

// pruneFloors removes the floors that every endpoint of the group has passed.
func (g *group) pruneFloors() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.view.Owned || g.view.Term != g.term {
		return
	}
	lowest := g.primaryEnd
	for _, ep := range g.view.Pool.Endpoints {
		applied, ok := g.applied[ep.Address]
		if !ok {
			return
		}
		if applied.Less(lowest) {
			lowest = applied
		}
	}
	g.floors.Prune(lowest)
}

// canServeRead reports whether the endpoint may serve a read of the session that
// accepts data as old as maxStaleness. The lock must be held.
func (g *group) canServeRead(addr, session string, maxStaleness time.Duration) bool {
	if addr == g.view.Primary {
		return true
	}
	applied, ok := g.applied[addr]
	if !ok || g.cfg.PrimaryOnly || g.staleness == nil {
		return false
	}
	read := routing.Read{Floor: g.floors.Floor(session), MaxStaleness: maxStaleness}
	replica := routing.Candidate{Accepting: true, Applied: applied}
	return routing.Eligible(time.Now(), read, replica, g.staleness) && g.health.Admit(addr)
}

// recordPosition records the log position that an endpoint returned with the answer to
// a batch; sent is when the batch was sent. An endpoint that has applied a position
// has received it, and so has the primary.
func (g *group) recordPosition(term uint64, addr string, pos logpos.Position, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if term != g.term || pos.Term != term {
		return
	}
	g.applied[addr] = logpos.Max(g.applied[addr], pos)
	g.primaryEnd = logpos.Max(g.primaryEnd, pos)
	before := g.tracker.Received()
	g.tracker.Observe(addr, term, pos, time.Time{})
	if addr != g.view.Primary {
		g.tracker.Observe(g.view.Primary, term, pos, time.Time{})
	} else {
		g.staleness.Sample(sent, pos)
	}
	if before.Less(g.tracker.Received()) {
		g.broadcast()
	}
}
