package gateway

import (
	"fmt"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// directPlan is the plan of the first of three hosts with connections to an endpoint.
var directPlan = connPlan{limit: 7, window: 2, directHosts: 3}

// adaptiveTarget returns a pool and a target of an endpoint of 4 slots with the given plan.
func adaptiveTarget(on bool, plan connPlan) (*pool, *target) {
	p := &pool{metrics: metrics.NewRegistry(), adaptiveConcurrency: on}
	tg := newTarget(newGroup("g", p), Endpoint{ID: "e", Slots: 4})
	tg.applyPlan(plan)
	return p, tg
}

// answerAll answers a number of reads after the given time, while as many others are in
// flight as the window allows. Reads through a relay host have its address. It returns the
// smallest window.
func answerAll(p *pool, tg *target, n int, took time.Duration, relay string, reply Reply, err error) int {
	var conns []*conn
	smallest := tg.window
	for range n {
		for len(conns) < tg.window {
			c := &conn{target: tg, relayAddress: relay, database: "d"}
			p.statementStarted(c, false)
			conns = append(conns, c)
		}
		tg.inFlight--
		p.observeLimit(conns[0], boottime.Now().Add(-took), Request{Statement: session.Statement{Op: session.OpRead}}, &reply, err)
		conns = conns[1:]
		smallest = min(smallest, tg.window)
	}
	tg.inFlight = 0
	return smallest
}

// Guards against a window that stays at two statements for each slot although the endpoint
// has become slow, and against one that does not rise again.
func TestWindowFollowsResponseTimes(t *testing.T) {
	g := NewWithT(t)
	p, tg := adaptiveTarget(true, directPlan)
	for range 100 {
		answerAll(p, tg, 2, 10*time.Millisecond, "", Reply{}, nil)
		g.Expect(tg.reduced).To(BeFalse(), "the start is no reduction")
	}
	answerAll(p, tg, 200, 10*time.Millisecond, "", Reply{}, nil)
	g.Expect(tg.window).To(BeNumerically(">=", 3))
	g.Expect(answerAll(p, tg, 120, 100*time.Millisecond, "", Reply{}, nil)).To(Equal(1))
	g.Expect(tg.reduced).To(BeTrue())
	answerAll(p, tg, 200, 10*time.Millisecond, "", Reply{}, nil)
	g.Expect(tg.window).To(BeNumerically(">=", 3))
	g.Expect(tg.reduced).To(BeFalse())
	g.Expect(p.metrics.Count(metrics.ConcurrencyLowered)).To(BeNumerically(">", 0))
	g.Expect(p.metrics.Count(metrics.ConcurrencyRaised)).To(BeNumerically(">", 0))
}

// Guards against a deployment whose windows change although it has not switched the learned
// limits on, and against hosts that learn a limit which they cannot keep: those without
// direct connections, and those of a fleet in which every host connects.
func TestWindowIsFixedUnlessLimitCanBeLearned(t *testing.T) {
	viaRelays := connPlan{limit: maxRelayedRequests, window: maxRelayedRequests, viaRelays: true, relays: []string{"a"}}
	allHosts := connPlan{limit: 2, window: 2, directHosts: 4*concurrency.MaxPerSlot + 1}
	for name, c := range map[string]struct {
		on   bool
		plan connPlan
	}{"off": {false, directPlan}, "through relay hosts": {true, viaRelays}, "every host": {true, allHosts}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, tg := adaptiveTarget(c.on, c.plan)
			answerAll(p, tg, 200, 10*time.Millisecond, "", Reply{}, nil)
			answerAll(p, tg, 60, 100*time.Millisecond, "", Reply{}, nil)
			g.Expect(tg.window).To(Equal(c.plan.window))
		})
	}
}

// Guards against a limit that follows statements that did not run, or that took another way.
func TestOnlyDirectAnswersMoveTheLimit(t *testing.T) {
	g := NewWithT(t)
	p, tg := adaptiveTarget(true, directPlan)
	answerAll(p, tg, 200, 10*time.Millisecond, "", Reply{}, nil)
	before := tg.limiter.Limit()
	answerAll(p, tg, 60, 100*time.Millisecond, "a", Reply{}, nil)
	answerAll(p, tg, 60, 100*time.Millisecond, "", Reply{Code: CodeBusy}, nil)
	answerAll(p, tg, 60, 600*time.Millisecond, "", Reply{}, io.ErrUnexpectedEOF)
	g.Expect(tg.limiter.Limit()).To(Equal(before))
	g.Expect(tg.limiter.FailureShare()).To(BeNumerically(">", 0.5))
	tg.applyPlan(connPlan{limit: 12, window: 12, viaRelays: true})
	g.Expect(tg.window).To(Equal(12))
}

// Guards against hosts that disagree on their shares of a limit, so that some slots are given
// twice or not at all.
func TestDirectHostsHaveDistinctRanks(t *testing.T) {
	g := NewWithT(t)
	controllers := controllersOfFleet(30, time.Time{})
	ranks := make(map[int]bool)
	for _, c := range controllers {
		plan := c.planConnections(c.liveHostsByZone(time.Time{}), Group{MaxConnections: 46}, Endpoint{ID: "e", Slots: 4})
		if !plan.viaRelays {
			g.Expect(plan.directHosts).To(Equal(directHosts))
			ranks[plan.rank] = true
		}
	}
	g.Expect(ranks).To(HaveLen(directHosts), fmt.Sprint(ranks))
}
