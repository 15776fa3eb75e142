package gateway

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/placement"
)

const (
	// smallFleet is the number of other hosts up to which each round calls the least
	// recently called ones; that reaches everyone within the permission's time.
	smallFleet = 24
	// smallFanout is how many hosts are called in a round of a small fleet.
	smallFanout = 3
	// hubsPerZone is how many hosts of each availability zone pass news on. The
	// others call one of them, so that few bytes cross zones.
	hubsPerZone = 2
	// probeRounds is the number of rounds after which one more host is called, so
	// that every host is called by some other about once a second.
	probeRounds = 4
	// maxFailedCalls bounds the hosts that one message of news tells failed calls of. In a
	// split every message would name half of the fleet, and grow beyond the size from
	// which messages are compressed.
	maxFailedCalls = 8
)

// partners returns the hosts to call in this round.
func (c *control) partners(now time.Time, everyone bool) []*member {
	switch {
	case everyone:
		return c.leastRecent(now, len(c.members))
	case now.Sub(c.asOf[TableState]) >= readPatienceMax:
		// Without the store, a majority must be heard within the permission's time.
		rounds := int(permission.Duration/newsInterval) - 2
		return c.leastRecent(now, max(smallFanout, len(c.members)/rounds+1))
	case len(c.members) <= smallFleet:
		return c.leastRecent(now, smallFanout)
	}
	out := c.hubPartners(now)
	if c.round%probeRounds == 0 {
		out = append(out, c.leastRecent(now, 1)...)
	}
	return out
}

// hubPartners returns a hub of this host's zone; if this host is a hub, one of each
// other zone and the first reader of the store instead.
func (c *control) hubPartners(now time.Time) []*member {
	ranked := placement.Rank(readersGroup, c.liveHosts(now), len(c.members)+1)
	hubs := make(map[string][]string)
	for _, h := range ranked {
		zone := c.zoneOf(h.Name)
		if len(hubs[zone]) < hubsPerZone {
			hubs[zone] = append(hubs[zone], h.Name)
		}
	}
	own := c.zoneOf(c.gw.cfg.Host)
	chosen := []string{pick(hubs[own], c.round)}
	if slices.Contains(hubs[own], c.gw.cfg.Host) {
		chosen = append(slices.Clone(hubs[own]), ranked[0].Name)
		for zone, names := range hubs {
			if zone != own {
				chosen = append(chosen, pick(names, c.round))
			}
		}
	}
	slices.Sort(chosen)
	var out []*member
	for _, name := range slices.Compact(chosen) {
		if m := c.members[name]; m != nil {
			out = append(out, m)
		}
	}
	return out
}

// pick returns the names in turn.
func pick(names []string, round int) string {
	if len(names) == 0 {
		return ""
	}
	return names[round%len(names)]
}

// zoneOf returns the availability zone of a host.
func (c *control) zoneOf(host string) string {
	if m := c.members[host]; m != nil {
		return m.AvailabilityZone
	}
	return c.gw.cfg.AvailabilityZone
}

// leastRecent returns the hosts that were called least recently. Hosts whose last
// call failed go first after a pause, until they are known not to answer.
func (c *control) leastRecent(now time.Time, n int) []*member {
	var out []*member
	for _, m := range c.members {
		if m.failures == 0 || now.Sub(m.failed) >= memberRetry {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *member) int {
		if doubtA, doubtB := a.failures == 1, b.failures == 1; doubtA != doubtB {
			if doubtA {
				return -1
			}
			return 1
		}
		return a.called.Compare(b.called)
	})
	return out[:min(n, len(out))]
}

// silent returns the hosts that do not answer this host, unless so many do not that
// this host is more likely to be the one that is cut off.
func (c *control) silent() []string {
	var out []string
	for name, m := range c.members {
		if m.failures >= suspectFailures {
			out = append(out, name)
		}
	}
	if 2*len(out) >= len(c.members) {
		return nil
	}
	return out
}

// failedCalls returns how long ago the last call failed to each host that does not answer
// some host, for the host that removes the rows of lost hosts. What others have told is
// passed on with its age, so that it ends unless some host calls in vain again. It does
// not make a host count as lost here: one slow answer would change the ranks everywhere.
//
// Load: a host of a large fleet is lost, and the few hosts that pass news on do not call
// it themselves.
func (c *control) failedCalls(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for name, m := range c.members {
		if len(out) == maxFailedCalls {
			break
		}
		if age := now.Sub(m.unansweredAt()); age <= reportHolds {
			out[name] = age
		}
	}
	return out
}
