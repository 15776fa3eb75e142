package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

const (
	// connectionReserve is the number of connections to an endpoint that are left for
	// status requests and for hosts that join.
	connectionReserve = 4
	// minConnections allows a transaction and a single statement at the same time.
	minConnections = 2
	// directHosts is the number of hosts with connections to an endpoint whose
	// connection limit does not allow minConnections for every host. Three hosts
	// survive the loss of any two.
	directHosts = 3
	// restartDivisor divides a host's share of an endpoint's connections, to leave room
	// for connections after a restart. After all hosts lose power under high load, the
	// endpoint keeps the old connections for seconds and would refuse new ones. Fewer
	// connections also mean fewer statements that the endpoint's queue has to reject.
	restartDivisor = 2
	// teamConnections is the part of its share that a relay host may use if connections belong to
	// teams. With half of it, 25 teams had 18 connections to take turns on, and each change of
	// the team costs the endpoint the opening of a connection.
	teamConnections = 0.75
	// hostsPerSlot is the number of hosts per slot of an endpoint above which a host
	// rarely has two statements there, so that one connection is enough. With two
	// connections from each of 132 hosts to endpoints that allow 283, the restarted
	// hosts found only 19 connections free after a power loss (seen on
	// lindqvist-vev-grown trouble-1).
	hostsPerSlot = 8
	// statementsPerSlot is the number of statements that all hosts together should have
	// in flight at an endpoint per slot: one that runs, and one that follows without a
	// round trip.
	statementsPerSlot = 2
	// maxRelayedRequests limits the requests of one host that are in flight to one
	// endpoint through relay hosts.
	maxRelayedRequests = 12
)

// connPlan defines how a host connects to an endpoint.
type connPlan struct {
	// limit is the maximum number of connections, or of relayed requests.
	limit int
	// window is the maximum number of statements in flight to the endpoint.
	window    int
	viaRelays bool
	// directHosts is the number of hosts with connections to the endpoint and rank this host's
	// place among them, if it is one and not all hosts have.
	directHosts, rank int
	// relays holds the addresses of the hosts that have connections to the endpoint.
	relays []string
}

// planConnections decides how this host reaches the endpoint. Every host connects
// directly if the endpoint's connection limit is large enough for all listed hosts.
// Otherwise only the first of the given live hosts by rank connect directly, those in
// the endpoint's availability zone before others, and the rest send requests through
// them.
//
// The shares are those of all listed hosts, not only of live ones: a host that is cut
// off or overloaded hears from few others, but must not take their shares. Endpoints
// would reset connections beyond their limit, and the hosts would slow down further by
// reopening them (seen on svfb-trestle-grown trouble-1).
func (c *controller) planConnections(hosts hostsByZone, config Group, e Endpoint) connPlan {
	listed := len(c.members) + 1
	if share := config.connectionShare(listed); share >= minConnections {
		least := minConnections
		if listed > hostsPerSlot*max(e.Slots, 1) {
			least = 1
		}
		return connPlan{limit: max(share/restartDivisor, least), window: max(windowFor(e, listed), minConnections)}
	}
	direct := hosts.rankDirectHosts(e, directHosts)
	out := connPlan{limit: maxRelayedRequests, window: maxRelayedRequests, viaRelays: true}
	for rank, h := range direct {
		if h.Name == c.gw.cfg.Host {
			return connPlan{limit: c.relayConnections(config, len(direct)), window: windowFor(e, len(direct)), directHosts: len(direct), rank: rank}
		}
		out.relays = append(out.relays, c.members[h.Name].Address)
	}
	return out
}

// relayConnections returns how many connections to an endpoint a relay host may hold if there are
// the given number of relay hosts.
func (c *controller) relayConnections(config Group, relays int) int {
	share := config.connectionShare(relays)
	if c.gw.catalog().Teams != nil {
		return max(int(float64(share)*teamConnections), 1)
	}
	return max(share/restartDivisor, 1)
}

// connectionShare returns each host's share of the connections to an endpoint if the
// given number of hosts connect to it.
func (g Group) connectionShare(hosts int) int { return (g.MaxConnections - connectionReserve) / hosts }

// windowFor returns how many statements each host may have in flight to the endpoint if
// the given number of hosts connect to it.
func windowFor(e Endpoint, hosts int) int {
	return max(statementsPerSlot*max(e.Slots, 1)/hosts, 1)
}

// connectionsScarce reports whether only some hosts connect directly to the endpoint.
// The group's mutex must be held.
func (c *controller) connectionsScarce(t *target) bool {
	return t.group.config.connectionShare(int(c.fleetSize.Load())) < minConnections
}

// liveHosts returns the hosts that are considered alive, including this one.
func (c *controller) liveHosts(now time.Time) []placement.Host {
	hosts := make([]placement.Host, 1, len(c.members)+1)
	hosts[0] = placement.Host{Name: c.gw.cfg.Host, Weight: c.gw.cfg.Weight}
	for _, m := range c.members {
		if m.alive(now) {
			hosts = append(hosts, placement.Host{Name: m.Name, Weight: m.Weight})
		}
	}
	return hosts
}
