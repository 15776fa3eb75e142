package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// hostsByZone groups hosts by their availability zone.
type hostsByZone map[string][]placement.Host

// liveHostsByZone returns the hosts that are considered alive, including this one.
func (c *controller) liveHostsByZone(now time.Time) hostsByZone {
	out := make(hostsByZone)
	for _, h := range c.liveHosts(now) {
		zone := c.zoneOf(h.Name)
		out[zone] = append(out[zone], h)
	}
	return out
}

// outside returns the hosts of all other availability zones.
func (z hostsByZone) outside(zone string) []placement.Host {
	var out []placement.Host
	for name, hosts := range z {
		if name != zone {
			out = append(out, hosts...)
		}
	}
	return out
}

// rankDirectHosts returns the n hosts that rank first for direct connections to the
// endpoint: those in its availability zone first, then by placement rank.
func (z hostsByZone) rankDirectHosts(e Endpoint, n int) []placement.Host {
	ranked := placement.Rank(e.ID, z[e.AvailabilityZone], n)
	if len(ranked) == n {
		return ranked
	}
	return append(ranked, placement.Rank(e.ID, z.outside(e.AvailabilityZone), n-len(ranked))...)
}

// directPosition returns the number of hosts that rank before the named host for direct
// connections to the endpoint.
func (z hostsByZone) directPosition(e Endpoint, name string) int {
	inZone := z[e.AvailabilityZone]
	if at := placement.Position(e.ID, inZone, name); at >= 0 {
		return at
	}
	return len(inZone) + placement.Position(e.ID, z.outside(e.AvailabilityZone), name)
}
