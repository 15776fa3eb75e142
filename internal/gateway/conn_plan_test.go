package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

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
		c.gw.currentCatalog.Store(&Catalog{})
		for _, other := range fleet {
			if other != h {
				c.members[other.Name] = &member{hostRecord: hostRecord{Name: other.Name, Address: other.Name}}
			}
		}
		if plan := c.planConnections(hostsByZone{"": fleet}, Group{MaxConnections: maxConnections}, Endpoint{ID: "e", Slots: slots}); !plan.viaRelays {
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

// Guards against hosts that disagree on who connects directly to an endpoint: the first
// hosts and a host's own position must follow from one ranking of all hosts, those in the
// endpoint's availability zone before the others.
func TestDirectHostsFollowOneRanking(t *testing.T) {
	g := NewWithT(t)
	hosts := make(hostsByZone)
	var all []placement.Host
	zones := make(map[string]string)
	for n := range 30 {
		h, zone := placement.Host{Name: fmt.Sprint("h", n)}, fmt.Sprint("z", n%4)
		hosts[zone] = append(hosts[zone], h)
		all, zones[h.Name] = append(all, h), zone
	}
	for n := range 40 {
		e := Endpoint{ID: fmt.Sprint("e", n), AvailabilityZone: fmt.Sprint("z", n%5)}
		ranked := placement.Rank(e.ID, all, len(all))
		slices.SortStableFunc(ranked, func(a, b placement.Host) int {
			outside := func(h placement.Host) int {
				if zones[h.Name] == e.AvailabilityZone {
					return 0
				}
				return 1
			}
			return cmp.Compare(outside(a), outside(b))
		})
		g.Expect(hosts.rankDirectHosts(e, directHosts)).To(Equal(ranked[:directHosts]))
		for at, h := range ranked {
			g.Expect(hosts.directPosition(e, h.Name)).To(Equal(at))
		}
	}
}

// BenchmarkPlanConnections measures the planning for all endpoints that follows each change
// of the endpoints table, on one of 133 hosts with 24 endpoints.
func BenchmarkPlanConnections(b *testing.B) {
	c := controllersOfFleet(133, time.Time{})[0]
	for b.Loop() {
		hosts := c.liveHostsByZone(time.Time{})
		for n := range 24 {
			c.planConnections(hosts, Group{MaxConnections: 83}, Endpoint{ID: fmt.Sprint("e", n), AvailabilityZone: fmt.Sprint("z", n%3), Slots: 5})
		}
	}
}
