package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against a restarted host that uses a primary by what another host knew before the
// start: the process before may have acknowledged a claim that the other host did not know
// (issue 31).
func TestRestartedHostNeedsClaimsAsOfItsStart(t *testing.T) {
	g := NewWithT(t)
	start := func(name string) *controller {
		c := newController(New(Config{Host: name, Address: name, Metrics: metrics.NewRegistry()}))
		c.gw.currentGroups.Store(&map[string]*group{"g": newGroup("g", c.gw.pool)})
		return c
	}
	other := start("h2")
	other.applyListing(TableState, Listing{Version: 3, Rows: []rows.Row{
		{Key: electorateKey, Version: 3, Value: encodeRecord(electorateRecord{Electorate: electorate.New([]string{"h1", "h2", "h3"}, nil)})},
		{Key: hostPrefix + "h1", Version: 1, Value: encodeRecord(hostRecord{Name: "h1", Address: "h1", Incarnation: 5})},
		{Key: hostPrefix + "h2", Version: 2, Value: encodeRecord(hostRecord{Name: "h2", Address: "h2", Incarnation: other.incarnation})},
	}})
	other.recordListing(2)
	permitted := func(claimsAge time.Duration) bool {
		restarted := start("h1")
		now := boottime.Now()
		other.startedAt, other.completeAsOf[TableState] = now.Add(-time.Minute), now.Add(-claimsAge)
		other.updatePermission()
		restarted.applyGossip(other.gossipMessage(now, map[TableName]uint64{TableState: 0}), now)
		g.Expect(restarted.isListed()).To(BeTrue())
		return restarted.gw.primaryPermitted(now)
	}
	g.Expect(permitted(300 * time.Millisecond)).To(BeFalse())
	g.Expect(permitted(0)).To(BeTrue())
}

// Guards against a restarted host that uses a primary by answers or evidence of hosts that had not
// acknowledged a claim yet: the process before had, so that the holder does not wait for this host
// (issue 42). What was read from the store counts from the start, as the claim was there by then.
func TestRestartedHostNeedsAnswersOfAfterTheFencePoll(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	permitted := func(sinceStart time.Duration, learn func(*controller)) bool {
		c := controllersOfFleet(3, now.Add(-time.Minute))[0]
		c.tables[TableState].Apply(nil, 0, 7)
		c.listedSinceVersion = 3
		for _, m := range c.members {
			m.answeredAt = time.Time{}
		}
		// Another host's mirror of the store, from before the start.
		c.completeAsOf[TableState], c.relayedEvidence = now.Add(-permission.Duration), time.Time{}
		c.startedAt = now.Add(-sinceStart)
		learn(c)
		c.updatePermission()
		return c.gw.primaryPermitted(now)
	}
	answers := func(c *controller) {
		for _, m := range c.members {
			m.answeredAt = now
		}
	}
	evidence := func(c *controller) { c.relayedEvidence = now }
	claims := func(c *controller) { c.completeAsOf[TableState] = now }
	for _, learn := range []func(*controller){answers, evidence} {
		g.Expect(permitted(longestFencePoll-time.Millisecond, learn)).To(BeFalse())
		g.Expect(permitted(longestFencePoll, learn)).To(BeTrue())
	}
	g.Expect(permitted(0, claims)).To(BeTrue())
}

// Guards against a host that uses primaries although its row names another process at another address:
// the holder of a claim asks that one only.
func TestHostWhoseRowNamesAnotherAddressIsNotListed(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now)[0]
	c.tables[TableState].Apply(nil, 0, 7)
	c.listedSinceVersion, c.ownRowVersion = 3, 3
	c.updatePermission()
	g.Expect(c.gw.primaryPermitted(now)).To(BeTrue())
	other := hostRecord{Name: c.gw.cfg.Host, Address: "elsewhere", Incarnation: c.incarnation + 1}
	c.applyListing(TableState, Listing{Version: 9, Rows: []rows.Row{{Key: hostPrefix + c.gw.cfg.Host, Version: 9, Value: encodeRecord(other)}}})
	c.updatePermission()
	g.Expect(c.gw.primaryPermitted(now)).To(BeFalse())
}

// Guards against a process that takes the time at which it was built for its start: an earlier process
// at its address may acknowledge claims until the listeners of the new one are open.
func TestHostStartsWhenItBeginsToRun(t *testing.T) {
	g := NewWithT(t)
	gw := New(Config{Host: "h1", Address: "h1", Store: absentStore{}, Metrics: metrics.NewRegistry()})
	time.Sleep(2 * time.Millisecond)
	began := boottime.Now()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = gw.Run(ctx)
	}()
	var startedAt time.Time
	g.Eventually(func() bool { return gw.controller.submitAndWait(func() { startedAt = gw.controller.startedAt }) }).Should(BeTrue())
	g.Expect(startedAt).To(BeTemporally(">=", began))
	cancel()
	g.Eventually(ended, time.Second).Should(BeClosed())
}
