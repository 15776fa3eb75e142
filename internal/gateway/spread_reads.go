package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

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
	best := choices[0]
	for _, c := range choices[1:] {
		if g.cheaper(c.target, best.target) {
			best = c
		}
	}
	return best
}

// readCandidate describes the target for routing.Spread, by what the hosts with connections
// to it report, or by this host's own statements if there are no fresh reports.
func (g *group) readCandidate(now time.Time, t *target) routing.ReadCandidate {
	slots := max(t.Slots, 1)
	queued, expected, serviceTime, limit := t.inFlight+t.waiting.len(), t.expectedWait(), t.serviceTime, slots
	load, added, ok := t.load(now)
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
