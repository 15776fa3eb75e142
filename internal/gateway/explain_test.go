package gateway

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// explainedGateway is a gateway that is not running, with a primary e1 and replicas e2 and e3
// behind relay hosts, a database for each consistency, and the teams red (limited), blue, and grey
// (without a key).
type explainedGateway struct {
	*Gateway
	group *group
	log   *bytes.Buffer
	now   time.Time
}

const secretKey = "sesame"

func newExplainedGateway(g *GomegaWithT, now time.Time, adaptive bool) *explainedGateway {
	log := &bytes.Buffer{}
	gw := New(Config{
		Host: "h1", Address: "h1:1", AvailabilityZone: "z1", ZoneDistance: 6 * time.Millisecond, RevocationBound: time.Minute, ConfigurationBound: time.Minute,
		Quota: quota.Rules{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, AdaptiveConcurrency: adaptive, Metrics: metrics.NewRegistry(), Log: zerolog.New(log),
	})
	teams, err := access.NewDirectory([]access.Entry{
		{Name: "red", Keys: []string{secretKey}, Limited: true, Rate: 30, Burst: 30}, {Name: "blue", Keys: []string{"b"}}, {Name: "grey", Keys: []string{}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	database := func(name string, c Consistency, key bool) Database {
		return Database{Name: name, Group: "g", Consistency: c, MaxStaleness: time.Minute, Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, KeyRequired: key}
	}
	gw.currentCatalog.Store(&Catalog{Version: 7, Teams: teams, Databases: map[string]Database{
		"strict": database("strict", ConsistencyPrimary, true), "stale": database("stale", ConsistencyBounded, true), "open": database("open", ConsistencyBounded, false),
	}})
	gw.catalogAsOf.Store(now.UnixNano())
	gw.permittedUntil.Store(now.Add(time.Hour).UnixNano())
	gw.quota.setElectorate(now, quota.Electorate{Version: 1, Sets: [][]string{{"h2", "h3", "h4"}}}, []string{"h2", "h3", "h4"}, nil)
	gw.quota.setLimits(teams.Teams())
	gr := newGroup("g", gw.pool)
	gw.currentGroups.Store(&map[string]*group{"g": gr})
	position := logpos.Position{Term: 1, Offset: 1}
	gr.setPrimary(1, "e1", position)
	gr.recordPrimaryPosition(now, position)
	for _, id := range []string{"e1", "e2", "e3"} {
		tg := relayedTarget(gr, id)
		tg.AvailabilityZone = "z1"
		tg.lag.Observe(now, position, gr.staleness)
	}
	// Without this difference the choice would depend on the order of the map.
	gr.targets["e3"].serviceTime += 5 * time.Millisecond
	gr.health.SetEndpoints(now.Add(-time.Hour), []string{"e1", "e2", "e3"})
	log.Reset()
	return &explainedGateway{Gateway: gw, group: gr, log: log, now: now}
}

// serve makes decisions of the serving path, and calls explain before each.
func (x *explainedGateway) serve(explain func()) (out []any) {
	r := connRequest{team: "red", share: x.group.pool.zoneDistance.Seconds()}
	for i := range 30 {
		now := x.now.Add(time.Duration(i) * 10 * time.Millisecond)
		explain()
		out = append(out, x.group.choose(now, newRequirement(x.catalog().Databases["stale"], logpos.Position{}, now, false)).target.ID)
		x.quota.mu.Lock()
		decision, order := x.quota.borrower.Take(now, "red", 1, i%2 == 1)
		out = append(out, decision, order)
		if decision == quota.Ask && i > 3 {
			x.quota.borrower.Answered(now, now, "red", order.Lender, quota.Grant{Lender: true, Tokens: 2, RetryAfter: 5 * time.Millisecond})
		}
		x.quota.mu.Unlock()
		for _, t := range x.group.targets {
			relays := t.usableRelays(now, r)
			out = append(out, len(relays), t.connCount(), t.waiting.len())
		}
	}
	return out
}

// Guards against an explanation that takes a token, asks a lender, uses up the credit by which a
// failing endpoint gets some reads, counts or logs a refusal, or shows a key.
func TestExplainChangesNothing(t *testing.T) {
	g := NewWithT(t)
	fail := func(x *explainedGateway) {
		for range 20 {
			x.group.health.Observe("e2", time.Millisecond, 0, true)
		}
		x.group.health.Update(x.now)
		g.Expect(x.group.health.Weight("e2")).To(Equal(0.5))
	}
	now := boottime.Now()
	undisturbed, explained := newExplainedGateway(g, now, false), newExplainedGateway(g, now, false)
	fail(undisturbed)
	fail(explained)
	before := explained.metrics.Values()
	explain := func() {
		// Three queries choose among replicas: two would use up the credit of two reads at the weight
		// of 0.5, which would not show.
		for _, q := range []ExplainQuery{{"stale", "red", false}, {"stale", "blue", false}, {"strict", "red", true}, {"none", "red", false}, {"strict", secretKey, false}, {"open", "", false}} {
			body, err := json.Marshal(explained.Explain(q))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(body)).NotTo(ContainSubstring(secretKey))
		}
	}
	served := undisturbed.serve(func() {})
	for i, decision := range explained.serve(explain) {
		g.Expect(decision).To(Equal(served[i]), "decision %d", i)
	}
	g.Expect(served).To(ContainElements("e2", "e3", quota.Taken, quota.Ask, quota.Wait))
	g.Expect(explained.metrics.Values()).To(Equal(before))
	g.Expect(explained.log.String()).To(BeEmpty())
	g.Expect(explained.quota.waiting).To(BeEmpty())
}

// Guards against an explanation that adds to the reports which hosts share, or counts refusals by
// them, or shows other shares than those of the reads.
func TestExplainDoesNotChangeReports(t *testing.T) {
	g := NewWithT(t)
	x := newExplainedGateway(g, boottime.Now(), true)
	direct := x.group.targets["e2"]
	direct.viaRelays, direct.relays, direct.directHosts, direct.answeredAt = false, nil, 3, x.now
	reportAll(x.group.targets["e3"], concurrency.Report{Limit: 8, InFlight: 8, ServiceTime: 20 * time.Millisecond, AsOf: x.now})
	reportAll(x.group.targets["e1"], concurrency.Report{Limit: 4, InFlight: 4, Waiting: 90, ServiceTime: 40 * time.Millisecond, AsOf: x.now})
	refused := x.Explain(ExplainQuery{Database: "strict", Team: "blue"}).Outcome
	g.Expect(refused.Reason).To(Equal("refused.expected_wait"))
	shown := x.Explain(ExplainQuery{Database: "stale", Team: "blue"})
	g.Expect(direct.view.Fresh(x.now)).To(BeEmpty())
	g.Expect(x.metrics.Count(metrics.ConcurrencyRefusedEarly)).To(BeZero())
	const reads = 4000
	counts := map[string]float64{}
	for range reads {
		counts[x.group.choose(x.now, newRequirement(x.catalog().Databases["stale"], logpos.Position{}, x.now, false)).target.ID]++
	}
	for _, e := range shown.Endpoints {
		g.Expect(counts[e.ID]/reads).To(BeNumerically("~", e.Share, 0.05), e.ID)
	}
}

// Guards against an explanation that names another reason, or another time, than the refusal has.
func TestExplainNamesTheRefusal(t *testing.T) {
	read := ExplainQuery{Database: "strict", Team: "red"}
	for name, c := range map[string]struct {
		query          ExplainQuery
		change         func(x *explainedGateway)
		result, reason string
		retryMs        int64
	}{
		"served":            {read, func(*explainedGateway) {}, ResultSent, "", 0},
		"no such database":  {ExplainQuery{Database: "none"}, func(*explainedGateway) {}, ResultRefused, "refused.unknown_pool", 0},
		"old configuration": {ExplainQuery{Database: "none"}, func(x *explainedGateway) { x.catalogAsOf.Store(0) }, ResultRefused, "refused.outdated_configuration", 150},
		"no proof":          {read, func(x *explainedGateway) { x.catalogAsOf.Store(x.now.Add(-2 * time.Minute).UnixNano()) }, ResultRefused, "refused.outdated_configuration", 150},
		"no proof needed":   {ExplainQuery{Database: "open"}, func(x *explainedGateway) { x.catalogAsOf.Store(0) }, ResultSent, "", 0},
		"no such team":      {ExplainQuery{Database: "strict", Team: "none"}, func(*explainedGateway) {}, ResultRefused, "refused.unknown_key", 0},
		"keys withdrawn":    {ExplainQuery{Database: "strict", Team: "grey"}, func(*explainedGateway) {}, ResultRefused, "refused.unknown_key", 0},
		"stopping":          {read, func(x *explainedGateway) { x.sessions.closing = true }, ResultRefused, "refused.draining", 150},
		"beyond the limit": {read, func(x *explainedGateway) {
			for range 3 {
				_, order := x.quota.borrower.Take(x.now, "red", 1, false)
				x.quota.borrower.Answered(x.now, x.now, "red", order.Lender, quota.Grant{Lender: true, RetryAfter: time.Hour})
			}
		}, ResultRefused, "refused.quota", 300},
		"no lender": {read, func(x *explainedGateway) {
			for range 3 {
				_, order := x.quota.borrower.Take(x.now, "red", 1, false)
				x.quota.borrower.Failed(x.now, "red", order.Lender)
			}
		}, ResultRefused, "refused.quota_unavailable", 900},
		"lender asked":     {read, func(x *explainedGateway) { x.quota.borrower.Take(boottime.Now(), "red", 1, false) }, ResultWaits, "refused.quota", 0},
		"no permission":    {read, func(x *explainedGateway) { x.permittedUntil.Store(0) }, ResultWaits, "refused.no_primary", 600},
		"cut off":          {read, func(x *explainedGateway) { x.permittedUntil.Store(0); x.group.cutOffUntil = x.now.Add(time.Hour) }, ResultRefused, "refused.no_primary", 600},
		"unknown group":    {read, func(x *explainedGateway) { x.currentGroups.Store(&map[string]*group{}) }, ResultRefused, "refused.no_primary", 600},
		"queue too long":   {read, func(x *explainedGateway) { x.fillQueue("e1", 1000) }, ResultRefused, "refused.expected_wait", 150},
		"waits in a queue": {read, func(x *explainedGateway) { x.fillQueue("e1", 1) }, ResultWaits, "refused.expected_wait", 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x := newExplainedGateway(g, boottime.Now(), false)
			c.change(x)
			o := x.Explain(c.query).Outcome
			g.Expect([]string{o.Result, o.Reason}).To(Equal([]string{c.result, c.reason}), "%+v", o)
			// Tokens are expected at a time that passes while the test runs.
			g.Expect(o.RetryAfterMs).To(BeNumerically(">=", c.retryMs))
			g.Expect(o.RetryAfterMs).To(BeNumerically("<=", c.retryMs+100))
		})
	}
}

// fillQueue uses up the window of an endpoint and makes requests wait there.
func (x *explainedGateway) fillQueue(endpoint string, waiting int) {
	t := x.group.targets[endpoint]
	t.opening = t.window
	for range waiting {
		t.waiting.push(connRequest{QueuedRequest: x.catalog().Databases["strict"].queuedRequest(x.now)})
	}
}

// Guards against an endpoint that is shown as usable although it would not be chosen, or the other
// way round, and against a wrong reason.
func TestExplainNamesExclusions(t *testing.T) {
	for name, c := range map[string]struct {
		database string
		change   func(x *explainedGateway)
		excluded []exclusion
	}{
		"all usable":       {"stale", func(*explainedGateway) {}, []exclusion{"", "", ""}},
		"primary only":     {"strict", func(*explainedGateway) {}, []exclusion{"", excludedNotPrimary, excludedNotPrimary}},
		"position unknown": {"stale", func(x *explainedGateway) { x.group.setPrimary(2, "e1", logpos.Position{Term: 2}) }, []exclusion{"", excludedUnknownPosition, excludedUnknownPosition}},
		"no permission":    {"stale", func(x *explainedGateway) { x.permittedUntil.Store(0) }, []exclusion{excludedNotPermitted, "", ""}},
		"being replaced":   {"stale", func(x *explainedGateway) { x.group.setFence(FenceState{Term: 1, Version: 9}, x.now) }, []exclusion{excludedFenced, "", ""}},
		"replica drains":   {"stale", func(x *explainedGateway) { x.group.targets["e2"].Draining = true }, []exclusion{"", excludedDraining, ""}},
		"primary drained":  {"stale", func(x *explainedGateway) { x.group.targets["e1"].Draining = true }, []exclusion{excludedDrained, "", ""}},
		"backoff":          {"stale", func(x *explainedGateway) { x.group.targets["e3"].backoffUntil = x.now.Add(time.Hour) }, []exclusion{"", "", excludedBackoff}},
		"removed":          {"stale", func(x *explainedGateway) { x.group.targets["e1"].removed = true }, []exclusion{excludedRemoved, "", ""}},
		"lag": {"stale", func(x *explainedGateway) {
			db := x.catalog().Databases["stale"]
			db.MaxStaleness = 0
			x.catalog().Databases["stale"] = db
			x.group.recordPrimaryPosition(x.now.Add(time.Minute), logpos.Position{Term: 1, Offset: 10})
		}, []exclusion{"", excludedLag, excludedLag}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x := newExplainedGateway(g, boottime.Now(), false)
			c.change(x)
			shown := x.Explain(ExplainQuery{Database: c.database, Team: "blue"})
			g.Expect(shown.Endpoints).To(HaveLen(3))
			for i, e := range shown.Endpoints {
				g.Expect(e.Excluded).To(Equal(string(c.excluded[i])), e.ID)
			}
			now := boottime.Now()
			chosen := x.group.choose(now, newRequirement(x.catalog().Databases[c.database], logpos.Position{}, now, false)).target
			if chosen == nil {
				g.Expect(shown.Outcome.Endpoint).To(BeEmpty())
				return
			}
			g.Expect(shown.Outcome.Endpoint).To(Equal(chosen.ID))
		})
	}
}

// Guards against relay hosts that are shown as used although the statements of the team go to
// others.
func TestExplainShowsRelaysOfTheTeam(t *testing.T) {
	g := NewWithT(t)
	x := newExplainedGateway(g, boottime.Now(), false)
	tg := x.group.targets["e1"]
	relays := func() []RelayExplanation {
		return x.Explain(ExplainQuery{Database: "strict", Team: "blue"}).Endpoints[0].Relays
	}
	first := relays()
	g.Expect(first).To(HaveLen(3))
	g.Expect([]bool{first[0].Used, first[1].Used, first[2].Used}).To(Equal([]bool{true, false, false}))
	address, _ := tg.nextRelay(boottime.Now(), connRequest{team: "blue"})
	g.Expect(first[0].Address).To(Equal(address))
	tg.relayFailed(boottime.Now(), address)
	second := relays()
	address, _ = tg.nextRelay(boottime.Now(), connRequest{team: "blue"})
	g.Expect(second[0].Address).To(And(Equal(address), Not(Equal(first[0].Address))))
	tg.relayRoute.SetRelays(x.now, []string{"x", "y"})
	upcoming := relays()
	g.Expect(upcoming).To(HaveLen(2))
	g.Expect(tg.relayRoute.NextRelay()).To(Equal(upcoming[0].Address))
}
