package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// holdings returns the limits of all hosts of a fleet for an endpoint, by host; hosts
// that go through others are missing.
func holdings(hosts, maxConnections, slots int) map[string]int {
	var fleet []placement.Host
	for n := range hosts {
		fleet = append(fleet, placement.Host{Name: fmt.Sprint("h", n)})
	}
	limits := make(map[string]int)
	for _, h := range fleet {
		c := &control{gw: &Gateway{cfg: Config{Host: h.Name}}, members: make(map[string]*member)}
		for _, other := range fleet {
			if other != h {
				c.members[other.Name] = &member{hostRecord: hostRecord{Name: other.Name, Address: other.Name}}
			}
		}
		if held := c.holding(fleet, Group{MaxConnections: maxConnections}, Endpoint{ID: "e", Slots: slots}); !held.relayed {
			limits[h.Name] = held.limit
		}
	}
	return limits
}

// Guards against hosts that return after a loss of power while the endpoint still
// counts their old connections, and find no room (lindqvist-vev trouble-1).
func TestTwoIncarnationsOfAllHostsFitAnEndpoint(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct{ hosts, connections, slots int }{{14, 60, 2}, {3, 60, 2}, {132, 283, 4}, {133, 83, 5}, {5, 12, 3}} {
		sum := 0
		for _, limit := range holdings(c.hosts, c.connections, c.slots) {
			sum += limit
		}
		g.Expect(sum).To(BeNumerically(">", 0))
		crowded := c.hosts > hostsPerSlot*c.slots
		if crowded || c.hosts*2*minConnections <= c.connections || c.connections < c.hosts*minConnections {
			g.Expect(2*sum).To(BeNumerically("<=", c.connections), "%d hosts, %d connections", c.hosts, c.connections)
		}
	}
}
