package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/coord/routing"
)

// pick returns one of the choices, or none if there are none: the one with the least cost,
// or where hosts share their views of endpoints, one by routing.Spread. The group's mutex
// must be held.
func (g *group) pick(now time.Time, choices []choice) choice {
	if len(choices) == 0 {
		return choice{}
	}
	if g.pool.adaptiveConcurrency && slices.ContainsFunc(choices, func(c choice) bool { return c.target.sharesConnections() }) {
		candidates := make([]routing.ReadCandidate, 0, len(choices))
		for _, c := range choices {
			candidates = append(candidates, g.readCandidate(now, c.target))
		}
		return choices[routing.Spread(candidates, rand.Float64)]
	}
	return choices[g.cheapest(choices)]
}

// cheapest returns the index of the choice with the least cost, of at least one.
func (g *group) cheapest(choices []choice) int {
	best := 0
	for i, c := range choices {
		if g.cheaper(c.target, choices[best].target) {
			best = i
		}
	}
	return best
}

// readCandidate describes the target for routing.Spread, by what the hosts with connections
// to it report, or by this host's own statements if there are no fresh reports.
func (g *group) readCandidate(now time.Time, t *target) routing.ReadCandidate {
	load, added, ok := t.load(now)
	return g.candidateByLoad(t, load, added, ok)
}

// candidateByLoad describes the target by the results of target.load or target.peekLoad.
func (g *group) candidateByLoad(t *target, load concurrency.Load, added int, ok bool) routing.ReadCandidate {
	slots := max(t.Slots, 1)
	queued, expected, serviceTime, limit := t.inFlight+t.waiting.len(), t.expectedWait(), t.serviceTime, slots
	switch {
	case ok && load.Complete:
		queued, expected = load.InFlight+load.Waiting, load.ExpectedWait(added)
		serviceTime, limit = load.ServiceTime, load.Limit
	case ok:
		serviceTime = load.ServiceTime
		expected = serviceTime + serviceTime*time.Duration(queued)/time.Duration(slots)
	}
	return routing.ReadCandidate{
		Cost:     expected + g.penalty(t),
		Capacity: float64(limit) / max(serviceTime, time.Microsecond).Seconds(),
		Load:     float64(queued) / float64(slots),
		Primary:  t.ID == g.primary,
	}
}
