package gateway

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// adaptiveFleet returns the controllers of a fleet that learns concurrency limits, with a
// group of three endpoints with 4 slots and 30 connections each.
func adaptiveFleet(size int) []*controller {
	fleet := controllersOfFleet(size, boottime.Now())
	for _, c := range fleet {
		c.gw.cfg.AdaptiveConcurrency, c.gw.pool.adaptiveConcurrency = true, true
		g := newGroup("g", c.gw.pool)
		hosts := c.liveHostsByZone(boottime.Now())
		listed := make(map[string]Endpoint)
		for n := range 3 {
			e := Endpoint{ID: fmt.Sprint("e", n), Group: "g", Slots: 4, AvailabilityZone: fmt.Sprint("z", n)}
			listed[e.ID] = e
			g.targets[e.ID] = newTarget(g, e)
			g.targets[e.ID].applyPlan(c.planConnections(hosts, Group{MaxConnections: 30}, e))
		}
		c.gw.currentGroups.Store(&map[string]*group{"g": g})
	}
	return fleet
}

// useDirect makes the hosts with connections to the endpoint report the given statements.
func useDirect(fleet []*controller, endpoint string, inFlight int, serviceTime time.Duration) {
	for _, c := range fleet {
		if tg := c.gw.group("g").targets[endpoint]; !tg.usesRelay() {
			tg.inFlight, tg.serviceTime, tg.answeredAt = inFlight, serviceTime, boottime.Now()
		}
	}
}

// gossipRounds exchanges gossip in the given number of rounds of the fleet.
func gossipRounds(fleet []*controller, rounds int) {
	byName := make(map[string]*controller)
	for _, c := range fleet {
		byName[c.gw.cfg.Host] = c
	}
	for range rounds {
		for _, c := range fleet {
			c.gossipRound++
			now := boottime.Now()
			for _, m := range c.gossipTargets(now, false) {
				callee := byName[m.Name]
				msg := c.gossipMessage(now, nil)
				c.addReports(now, &msg, c.passesReportsOn())
				callee.applyGossip(msg, time.Time{})
				answer := callee.gossipMessage(now, nil)
				callee.addReports(now, &answer, true)
				c.applyGossip(answer, now)
			}
		}
	}
}

// Guards against hosts that never learn what the relay hosts of an endpoint see, in a small
// fleet and in one that gossips through zone aggregators.
func TestReportsReachAllHosts(t *testing.T) {
	for _, size := range []int{20, 100} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			g := NewWithT(t)
			fleet := adaptiveFleet(size)
			useDirect(fleet, "e1", 4, 70*time.Millisecond)
			gossipRounds(fleet, 8)
			for _, c := range fleet {
				tg := c.gw.group("g").targets["e1"]
				load, _, ok := tg.load(boottime.Now())
				g.Expect(ok).To(BeTrue(), c.gw.cfg.Host)
				g.Expect(load.Complete).To(BeTrue())
				g.Expect(load.InFlight).To(Equal(12))
				g.Expect(load.ServiceTime).To(BeNumerically("~", 70*time.Millisecond, time.Millisecond))
			}
		})
	}
}

// Guards against messages of a host that is no zone aggregator which repeat the reports of
// all other hosts.
func TestOnlyAggregatorsPassReportsOn(t *testing.T) {
	g := NewWithT(t)
	fleet := adaptiveFleet(100)
	useDirect(fleet, "e1", 4, 70*time.Millisecond)
	gossipRounds(fleet, 8)
	passing := 0
	for _, c := range fleet {
		if c.passesReportsOn() {
			passing++
			continue
		}
		msg := GossipMessage{Groups: []GroupState{{Group: "g"}}}
		c.addReports(boottime.Now(), &msg, c.passesReportsOn())
		for _, e := range msg.Groups[0].Endpoints {
			g.Expect(e.Reports).To(HaveLen(1))
		}
	}
	g.Expect(passing).To(Equal(3 * aggregatorsPerZone))
}

// Guards against reports between hosts of a deployment that has not switched the learned
// limits on.
func TestNoReportsUnlessSwitchedOn(t *testing.T) {
	g := NewWithT(t)
	c := adaptiveFleet(3)[0]
	useDirect([]*controller{c}, "e1", 4, time.Second)
	c.gw.cfg.AdaptiveConcurrency = false
	msg := GossipMessage{Groups: []GroupState{{Group: "g"}}}
	c.addReports(boottime.Now(), &msg, true)
	g.Expect(msg.Groups[0].Endpoints).To(BeEmpty())
}

// reportAll merges equal reports of the three hosts with connections to the target.
func reportAll(tg *target, r concurrency.Report) {
	for rank := range directHosts {
		r.Rank, r.Hosts = rank, directHosts
		tg.view.Merge(r)
	}
}

// relayedTarget returns a target that is reached through relay hosts, by a host that learns
// limits.
func relayedTarget(gr *group, id string) *target {
	tg := newTarget(gr, Endpoint{ID: id, Slots: 4})
	tg.applyPlan(connPlan{limit: maxRelayedRequests, window: maxRelayedRequests, viaRelays: true, relays: []string{"a", "b", "c"}})
	gr.targets[id] = tg
	return tg
}

// Guards against a host with few statements of its own that keeps sending reads to a replica
// which the relay hosts know to be overloaded, and against one that trusts old reports.
func TestReadsFollowReports(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	gr := newGroup("g", &pool{metrics: metrics.NewRegistry(), adaptiveConcurrency: true, permittedUntil: farFuture})
	position := logpos.Position{Term: 1, Offset: 1}
	gr.setPrimary(1, "e1", position)
	gr.recordPrimaryPosition(now, position)
	for _, id := range []string{"e1", "e2", "e3"} {
		relayedTarget(gr, id).lag.Observe(now, position, gr.staleness)
	}
	gr.health.SetEndpoints(now, []string{"e1", "e2", "e3"})
	db := Database{Consistency: ConsistencyBounded, MaxStaleness: time.Second}
	taken := func() map[string]int {
		out := map[string]int{}
		for range 1000 {
			out[gr.choose(now, newRequirement(db, logpos.Position{}, now, false)).target.ID]++
		}
		return out
	}
	gr.targets["e3"].serviceTime = 15 * time.Millisecond
	g.Expect(taken()).To(Equal(map[string]int{"e3": 1000}), "its own samples decide without reports")
	reportAll(gr.targets["e3"], concurrency.Report{Limit: 4, InFlight: 2, Waiting: 20, ServiceTime: 200 * time.Millisecond, AsOf: now})
	reportAll(gr.targets["e2"], concurrency.Report{Limit: 8, InFlight: 2, ServiceTime: 20 * time.Millisecond, AsOf: now})
	spread := taken()
	g.Expect(spread["e3"]).To(BeNumerically("<", 50))
	g.Expect(spread["e2"]).To(BeNumerically(">", 900))
	now = now.Add(concurrency.ReportLifetime + time.Millisecond)
	gr.recordPrimaryPosition(now, position)
	g.Expect(taken()).To(Equal(map[string]int{"e3": 1000}), "the reports are too old")
}

// Guards against statements for an overloaded primary that take the way to a relay host to be
// refused there, and against refusals of statements that would be served in time.
func TestPrimaryRefusesEarlyByReports(t *testing.T) {
	g := NewWithT(t)
	p := &pool{metrics: metrics.NewRegistry(), adaptiveConcurrency: true}
	tg := relayedTarget(newGroup("g", p), "e1")
	now := boottime.Now()
	refused := func(priority int, primaryOnly bool) int {
		n := 0
		for range 400 {
			db := Database{Timeout: time.Second, LatencyObjective: 150 * time.Millisecond, Priority: priority}
			if tg.refuseEarly(now, connRequest{QueuedRequest: db.queuedRequest(now), primaryOnly: primaryOnly}) {
				n++
			}
		}
		return n
	}
	g.Expect(refused(1, true)).To(BeZero(), "nothing is known")
	reportAll(tg, concurrency.Report{Limit: 8, InFlight: 3, Waiting: 4, LastPriority: 1, ServiceTime: 20 * time.Millisecond, AsOf: now})
	g.Expect(refused(1, true)).To(BeZero())
	reportAll(tg, concurrency.Report{Limit: 8, InFlight: 3, Waiting: 20, LastPriority: 1, ServiceTime: 20 * time.Millisecond, AsOf: now.Add(time.Millisecond)})
	n := refused(1, true)
	g.Expect(n).To(BeNumerically("~", 350, 30), "some pass, so that answers show a recovery")
	g.Expect(p.metrics.Count(metrics.ConcurrencyRefusedEarly)).To(Equal(int64(n)))
	g.Expect(refused(0, true)).To(BeZero(), "it goes before what waits")
	g.Expect(refused(1, false)).To(BeZero(), "a read can go elsewhere")
	now = now.Add(200 * time.Millisecond)
	g.Expect(refused(1, true)).To(BeZero(), "the queue may have drained")
}

// Guards against an endpoint that hangs and looks as fast as it was before.
func TestHangingEndpointReportsItsSilence(t *testing.T) {
	g := NewWithT(t)
	p, tg := adaptiveTarget(true, directPlan)
	tg.serviceTime = 10 * time.Millisecond
	c := &conn{target: tg}
	tg.conns[c] = true
	p.statementStarted(c, false)
	now := boottime.Now().Add(400 * time.Millisecond)
	g.Expect(tg.mergeOwnReport(now)).To(BeTrue())
	g.Expect(tg.view.Fresh(now)[0].ServiceTime).To(BeNumerically(">=", 400*time.Millisecond))
}
