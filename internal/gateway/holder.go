package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

const (
	// connectionReserve is the number of connections to an endpoint that are left for
	// status requests and for hosts that join.
	connectionReserve = 4
	// minConnections lets a transaction and a single statement run at once.
	minConnections = 2
	// fewHolders is how many hosts hold connections to an endpoint whose limit does
	// not allow minConnections for every host. Three survive the loss of any two.
	fewHolders = 3
	// restartShare divides a host's share of an endpoint's connections: the rest stays
	// free for the next incarnation of the host. Load: every host loses power at a
	// crest. The endpoint keeps the old connections for seconds and would refuse the
	// new ones. Fewer connections also leave fewer statements to be shed by the
	// endpoint's queue.
	restartShare = 2
	// hostsPerSlot is the number of hosts for each of an endpoint's slots above which a
	// host rarely has two statements there, so that one connection is enough. Load: 132
	// hosts with two connections each lose power before endpoints that allow 283; their
	// next incarnations found 19 free (lindqvist-vev-grown trouble-1).
	hostsPerSlot = 8
	// statementsPerSlot is the number of statements that all hosts together should have
	// under way at an endpoint for each of its slots: one that runs, and one that follows
	// without a round trip.
	statementsPerSlot = 2
	// relayConnections bounds the requests that a host has under way at one endpoint
	// through its holders.
	relayConnections = 12
)

// holding says how a host reaches an endpoint.
type holding struct {
	// limit is the number of connections, or of requests through holders.
	limit int
	// window is the number of statements that may be under way at the endpoint.
	window  int
	relayed bool
	// holders are the addresses of the hosts that hold connections.
	holders []string
}

// holding decides whether this host, one of the live hosts, holds connections to the
// endpoint: all hosts do if the limit allows it for every listed host, otherwise the few
// live ones that are ranked first, hosts in the endpoint's availability zone before others.
//
// Load: a host that is cut off or overloaded hears from few others. It must not take their
// shares: endpoints then reset connections over their limit, and the hosts, which open them
// again, become slower still (svfb-trestle-grown trouble-1).
func (c *control) holding(hosts []placement.Host, config Group, e Endpoint) holding {
	listed := len(c.members) + 1
	if share := config.share(listed); share >= minConnections {
		least := minConnections
		if listed > hostsPerSlot*max(e.Slots, 1) {
			least = 1
		}
		return holding{limit: max(share/restartShare, least), window: max(windowOf(e, listed), minConnections)}
	}
	ranked := c.rankHolders(hosts, e)
	few := ranked[:min(fewHolders, len(ranked))]
	out := holding{limit: relayConnections, window: relayConnections, relayed: true}
	for _, h := range few {
		if h.Name == c.gw.cfg.Host {
			return holding{limit: max(config.share(len(few))/restartShare, 1), window: windowOf(e, len(few))}
		}
		out.holders = append(out.holders, c.members[h.Name].Address)
	}
	return out
}

// share returns the part of each of so many hosts in the connections to an endpoint.
func (g Group) share(hosts int) int { return (g.MaxConnections - connectionReserve) / hosts }

// windowOf returns how many statements each of so many holders may have under way at the
// endpoint.
func windowOf(e Endpoint, holders int) int {
	return max(statementsPerSlot*max(e.Slots, 1)/holders, 1)
}

// fewHold reports whether only some hosts hold connections to the endpoint. The
// group's mutex must be held.
func (c *control) fewHold(t *target) bool {
	return t.group.config.share(int(c.fleetSize.Load())) < minConnections
}

// liveHosts returns the hosts that are thought to run, this one included.
func (c *control) liveHosts(now time.Time) []placement.Host {
	hosts := []placement.Host{{Name: c.gw.cfg.Host}}
	for _, m := range c.members {
		if m.live(now) {
			hosts = append(hosts, placement.Host{Name: m.Name})
		}
	}
	return hosts
}

// rankHolders orders the hosts by zone and then by rank.
func (c *control) rankHolders(hosts []placement.Host, e Endpoint) []placement.Host {
	ranked := placement.Rank(e.ID, hosts, len(hosts))
	slices.SortStableFunc(ranked, func(a, b placement.Host) int {
		return cmp.Compare(c.distance(a.Name, e), c.distance(b.Name, e))
	})
	return ranked
}

// distance is 0 for hosts in the endpoint's availability zone, otherwise 1.
func (c *control) distance(host string, e Endpoint) int {
	if c.zoneOf(host) == e.AvailabilityZone {
		return 0
	}
	return 1
}
