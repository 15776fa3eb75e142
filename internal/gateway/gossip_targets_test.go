package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// electorateOfFleet returns an electorate of all hosts of a fleet.
func electorateOfFleet(size int) electorate.Electorate {
	var hosts []string
	for n := range size {
		hosts = append(hosts, fmt.Sprintf("h%d", n))
	}
	return electorate.New(hosts, nil)
}

// controllersOfFleet returns the controllers of all hosts of a fleet in three
// availability zones. Each knows all others, which are all voters, and last read the claims
// at the given time.
func controllersOfFleet(size int, claimsAsOf time.Time) []*controller {
	zone := func(n int) string { return fmt.Sprintf("z%d", n%3) }
	var out []*controller
	for n := range size {
		c := newController(New(Config{Host: fmt.Sprintf("h%d", n), AvailabilityZone: zone(n), Metrics: metrics.NewRegistry()}))
		// The host has been running for long.
		c.startedAt, c.completeAsOf[TableState] = c.startedAt.Add(-time.Hour), claimsAsOf
		for other := range size {
			if other != n {
				name := fmt.Sprintf("h%d", other)
				c.members[name] = &member{hostRecord: hostRecord{Name: name, Address: name, AvailabilityZone: zone(other)}}
			}
		}
		c.electorate.Electorate, c.electorate.ownAddress = electorateOfFleet(size), c.gw.cfg.Host
		c.resolveVoters()
		out = append(out, c)
	}
	return out
}

// Guards against calls that grow with the square of the number of hosts once gossip is
// late. The calls make all hosts slow, so that gossip stays late and configurations are in
// force after their bound (seen on svfb-trestle-grown trouble-1 until long after a network
// partition).
func TestLateGossipDoesNotMultiplyCalls(t *testing.T) {
	g := NewWithT(t)
	const maxCallsPerHost = 8
	now := boottime.Now()
	for _, size := range []int{40, 80, 160} {
		calls := 0
		for _, c := range controllersOfFleet(size, now.Add(-2*time.Second)) {
			calls += len(c.gossipTargets(now, false))
		}
		g.Expect(calls).To(BeNumerically("<=", maxCallsPerHost*size), "%d hosts", size)
	}
}

// Guards against reports of unresponsive hosts that make many hosts ask the majority,
// because each considers those unresponsive that would do so before it.
func TestReportsDoNotMultiplyCalls(t *testing.T) {
	g := NewWithT(t)
	const size, maxCallsPerHost = 160, 8
	now := boottime.Now()
	calls := 0
	for _, c := range controllersOfFleet(size, now.Add(-2*time.Second)) {
		for _, m := range c.members {
			m.reportedUnresponsiveAt = now
		}
		calls += len(c.gossipTargets(now, false))
	}
	g.Expect(calls).To(BeNumerically("<=", maxCallsPerHost*size))
}

// Guards against a host without enough processor time that calls all hosts again and again
// because it appears to be paused (seen on svfb-trestle-grown trouble-1: 132 calls a round
// from hosts that were late by a second).
func TestStarvedHostDoesNotCallAllHosts(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(80, now)[0]
	for range 10 {
		now = now.Add(time.Second)
		c.lastTick = now.Add(-time.Second)
		c.handlePause(now)
		g.Expect(len(c.nextGossipTargets(now))).To(BeNumerically("<=", 8))
	}
	c.startGossipRound(true)
	g.Expect(c.nextGossipTargets(now)).To(HaveLen(79))
	g.Expect(len(c.nextGossipTargets(now))).To(BeNumerically("<=", 8))
}

// Guards against calls that pile up at a host which answers more slowly than it is called.
func TestHostWithUnansweredCallIsNotCalledAgain(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(14, now)[0]
	for _, m := range c.members {
		m.callInFlight = m.Name != "h5"
	}
	g.Expect(c.nextGossipTargets(now)).To(ConsistOf(c.members["h5"]))
	// A change that every host must learn of is sent nevertheless.
	c.startGossipRound(true)
	g.Expect(c.nextGossipTargets(now)).To(HaveLen(13))
}
