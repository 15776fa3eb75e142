package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// directConnectionLimits returns the connection limits of all hosts of a fleet for an
// endpoint, by host. Hosts that use relays are left out.
func directConnectionLimits(hosts, maxConnections, slots int) map[string]int {
	var fleet []placement.Host
	for n := range hosts {
		fleet = append(fleet, placement.Host{Name: fmt.Sprint("h", n)})
	}
	limits := make(map[string]int)
	for _, h := range fleet {
		c := &controller{gw: &Gateway{cfg: Config{Host: h.Name}}, members: make(map[string]*member)}
		for _, other := range fleet {
			if other != h {
				c.members[other.Name] = &member{hostRecord: hostRecord{Name: other.Name, Address: other.Name}}
			}
		}
		if plan := c.planConnections(fleet, Group{MaxConnections: maxConnections}, Endpoint{ID: "e", Slots: slots}); !plan.viaRelays {
			limits[h.Name] = plan.limit
		}
	}
	return limits
}

// Guards against hosts that find no free connections after a power loss, because the
// endpoint still counts their old ones (seen on lindqvist-vev trouble-1).
func TestConnectionLimitsLeaveRoomForRestartedHosts(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ hosts, connections, slots int }{{14, 60, 2}, {3, 60, 2}, {132, 283, 4}, {133, 83, 5}, {5, 12, 3}} {
		sum := 0
		for _, limit := range directConnectionLimits(c.hosts, c.connections, c.slots) {
			sum += limit
		}
		g.Expect(sum).To(BeNumerically(">", 0))
		crowded := c.hosts > hostsPerSlot*c.slots
		if crowded || c.hosts*2*minConnections <= c.connections || c.connections < c.hosts*minConnections {
			g.Expect(2*sum).To(BeNumerically("<=", c.connections), "%d hosts, %d connections", c.hosts, c.connections)
		}
	}
}
