package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/placement"
)

const (
	// smallFleetSize is the number of other hosts up to which each round calls the
	// least recently called ones. With this number, every host is reached within
	// permission.Duration.
	smallFleetSize = 24
	// smallFanout is the number of hosts that are called per round in a small fleet.
	smallFanout = 3
	// aggregatorsPerZone is the number of zone aggregators per availability zone. In a
	// large fleet they pass gossip on, and the other hosts of the zone call one of
	// them, which keeps traffic between zones low.
	aggregatorsPerZone = 2
	// probeRounds is the number of rounds after which the least recently called host is
	// called as well, aggregator or not, so that every host is called by some host
	// about once a second.
	probeRounds = 4
	// pollRounds is the number of rounds in which a host that asks the majority calls every
	// live host, after a first round that calls a majority at once. What is left of
	// permission.Duration is for the way of the evidence to the other hosts.
	pollRounds = 3
	// askMajorityAge is the age of the claims at which the first hosts of each availability
	// zone of a large fleet ask the majority. While the store answers, gossip keeps the
	// claims of these hosts younger. The rest of permission.Duration must suffice for their
	// calls, and then for one gossip round of the other hosts, which get the evidence.
	askMajorityAge = 850 * time.Millisecond
	// maxReportedFailures limits the failed calls in one gossip message. In a network
	// partition every message would otherwise name half of the fleet and exceed the
	// size from which messages are compressed.
	maxReportedFailures = 8
)

// gossipTargets returns the hosts to call in this round: all hosts if everyone is set,
// otherwise the least recently called ones in a small fleet and zone aggregators in a large
// one. More hosts are called while the claims are too old, since a majority must then
// answer within permission.Duration: in a small fleet by each host, in a large one only by
// the first hosts of each availability zone, which pass the evidence on.
//
// In a large fleet the calls per host must not depend on the number of hosts. Hosts that
// answer slowly make the claims too old on the hosts behind them; if each of these then
// called a share of all hosts, the calls would slow all hosts down and the claims would
// stay too old even after the cause has ended.
func (c *controller) gossipTargets(now time.Time, everyone bool) []*member {
	switch {
	case everyone:
		return slices.DeleteFunc(slices.Collect(maps.Values(c.members)), func(m *member) bool { return m.failedRecently(now) })
	case len(c.members) > smallFleetSize:
		return c.largeFleetTargets(now)
	case c.claimsTooOld(now):
		rounds := int(permission.Duration/gossipInterval) - 2
		return c.leastRecentlyCalled(now, max(smallFanout, len(c.members)/rounds+1))
	}
	return c.leastRecentlyCalled(now, smallFanout)
}

// largeFleetTargets returns the hosts to call in this round in a large fleet.
func (c *controller) largeFleetTargets(now time.Time) []*member {
	out := c.aggregatorTargets(now)
	began := !c.askingMajority
	c.askingMajority = c.mustAskMajority(now)
	switch {
	case c.askingMajority && began:
		out = append(out, c.leastRecentlyCalledVoters(now, 2)...)
	case c.askingMajority:
		out = append(out, c.leastRecentlyCalledVoters(now, pollRounds)...)
	case now.Sub(c.knownClaimsAsOf()) >= claimsMaxAge:
		// The aggregators may be out of reach, and any other host may have evidence.
		out = append(out, c.leastRecentlyCalled(now, smallFanout-1)...)
	case c.gossipRound%probeRounds == 0:
		out = append(out, c.leastRecentlyCalled(now, 1)...)
	}
	return distinct(out)
}

// distinct removes repeated members.
func distinct(members []*member) []*member {
	seen := make(map[*member]bool, len(members))
	return slices.DeleteFunc(members, func(m *member) bool {
		repeated := seen[m]
		seen[m] = true
		return repeated
	})
}

// mustAskMajority reports whether this host asks the majority of a large fleet now.
func (c *controller) mustAskMajority(now time.Time) bool {
	return len(c.members) > smallFleetSize && now.Sub(c.claimsAsOf()) >= askMajorityAge && c.asksMajority()
}

// asksMajority reports whether this host asks the majority while the claims are too old:
// the hosts that rank first in their availability zone do. Only hosts that do not answer
// this host are skipped. If reports of other hosts counted as well, many hosts would ask
// at once while slow answers cause such reports.
func (c *controller) asksMajority() bool {
	zone := c.zoneOf(c.gw.cfg.Host)
	candidates := []placement.Host{{Name: c.gw.cfg.Host, Weight: c.gw.cfg.Weight}}
	for _, m := range c.members {
		if m.AvailabilityZone == zone && !m.leaving && m.failures < failuresUntilUnresponsive {
			candidates = append(candidates, placement.Host{Name: m.Name, Weight: m.Weight})
		}
	}
	return placement.Position(storeReadersGroup, candidates, c.gw.cfg.Host) < aggregatorsPerZone
}

// leastRecentlyCalledVoters returns the given fraction of the voters, of those that answer,
// and one other voter, which may answer again.
func (c *controller) leastRecentlyCalledVoters(now time.Time, fraction int) []*member {
	voters := c.voters()
	n := len(voters)/fraction + 1
	var live, silent []*member
	for _, m := range c.leastRecentlyCalled(now, len(c.members)) {
		switch {
		case !voters[m]:
		case m.failures < failuresUntilUnresponsive:
			live = append(live, m)
		default:
			silent = append(silent, m)
		}
	}
	return append(live[:min(n, len(live))], silent[:min(1, len(silent))]...)
}

// claimsTooOld reports whether this host's mirror of the claims will soon no longer
// support its permission to use primaries.
func (c *controller) claimsTooOld(now time.Time) bool {
	return now.Sub(c.claimsAsOf()) >= claimsMaxAge
}

// aggregatorTargets returns a zone aggregator of this host's zone. If this host is an
// aggregator itself, it returns the other aggregators of the zone, one aggregator of
// each other zone, and the first reader of the store.
func (c *controller) aggregatorTargets(now time.Time) []*member {
	ranked := placement.Rank(storeReadersGroup, c.liveHosts(now), len(c.members)+1)
	aggregators := make(map[string][]string)
	for _, h := range ranked {
		zone := c.zoneOf(h.Name)
		if len(aggregators[zone]) < aggregatorsPerZone {
			aggregators[zone] = append(aggregators[zone], h.Name)
		}
	}
	own := c.zoneOf(c.gw.cfg.Host)
	c.isAggregator = slices.Contains(aggregators[own], c.gw.cfg.Host)
	chosen := []string{rotate(aggregators[own], c.gossipRound)}
	if c.isAggregator {
		chosen = append(slices.Clone(aggregators[own]), ranked[0].Name)
		for zone, names := range aggregators {
			if zone != own {
				chosen = append(chosen, rotate(names, c.gossipRound))
			}
		}
	}
	slices.Sort(chosen)
	var out []*member
	for _, name := range slices.Compact(chosen) {
		if m := c.members[name]; m != nil && !m.callInFlight {
			out = append(out, m)
		}
	}
	return out
}

// rotate returns a different name each round.
func rotate(names []string, round int) string {
	if len(names) == 0 {
		return ""
	}
	return names[round%len(names)]
}

// zoneOf returns the availability zone of a host.
func (c *controller) zoneOf(host string) string {
	if m := c.members[host]; m != nil {
		return m.AvailabilityZone
	}
	return c.gw.cfg.AvailabilityZone
}

// leastRecentlyCalled returns the n hosts that were called least recently. Hosts whose
// last call failed come first after memberRetryDelay, until they count as unresponsive. A
// host that has not answered the last call yet is left out: further calls would only add to
// the load that makes it slow.
func (c *controller) leastRecentlyCalled(now time.Time, n int) []*member {
	var out []*member
	for _, m := range c.members {
		if !m.callInFlight && !m.failedRecently(now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		if unconfirmedA, unconfirmedB := a.failures == 1, b.failures == 1; unconfirmedA != unconfirmedB {
			if unconfirmedA {
				return -1
			}
			return 1
		}
		return a.calledAt.Compare(b.calledAt)
	})
	return out[:min(n, len(out))]
}

// unresponsiveHosts returns the hosts that do not answer this host. It returns none if
// at least half of the hosts do not answer, since this host is then more likely to be
// cut off itself.
func (c *controller) unresponsiveHosts() []string {
	var out []string
	for name, m := range c.members {
		if m.failures >= failuresUntilUnresponsive {
			out = append(out, name)
		}
	}
	if 2*len(out) >= len(c.members) {
		return nil
	}
	return out
}

// failedCallAges returns, for each host that does not answer some host, how long ago
// the last call to it failed. The host that removes the rows of lost hosts needs this:
// in a large fleet, neither it nor the zone aggregators necessarily call the lost host
// themselves.
//
// Reports of other hosts are forwarded with their age, so that they expire unless a
// call fails again. They do not make a host count as lost here, because one slow answer
// would then change the ranking on every host.
func (c *controller) failedCallAges(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for name, m := range c.members {
		if len(out) == maxReportedFailures {
			break
		}
		if age := now.Sub(m.lastFailureAt()); age <= reportLifetime {
			out[name] = age
		}
	}
	return out
}
