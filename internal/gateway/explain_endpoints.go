package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// EndpointExplanation is what this host knows of an endpoint of the group.
type EndpointExplanation struct {
	ID   string `json:"id"`
	Role string `json:"role"`
	Zone string `json:"zone"`
	// Excluded is why the endpoint cannot serve the statement now; empty if it can.
	Excluded string `json:"excluded,omitempty"`
	// BackoffMs is the time until the end of the backoff.
	BackoffMs float64 `json:"backoff_ms,omitempty"`
	LagMs     float64 `json:"lag_ms"`
	// HealthWeight is the share of reads for which the endpoint is considered.
	HealthWeight float64 `json:"health_weight"`
	// Direct is true if this host connects to the endpoint, otherwise Relays are used.
	Direct bool               `json:"direct"`
	Relays []RelayExplanation `json:"relays,omitempty"`
	// InFlight, Waiting and Window are those of this host.
	InFlight int `json:"in_flight"`
	Waiting  int `json:"waiting"`
	Window   int `json:"window"`
	// Reported is the load that the hosts with connections report; missing without fresh reports.
	Reported       *ReportedLoad `json:"reported,omitempty"`
	ExpectedWaitMs float64       `json:"expected_wait_ms"`
	// CostMs is the expected wait with the penalties for zone and role.
	CostMs float64 `json:"cost_ms"`
	// Share is the probability with which the endpoint would be chosen.
	Share float64 `json:"share"`
}

// RelayExplanation is a relay host of an endpoint.
type RelayExplanation struct {
	Address string `json:"address"`
	// Used is true if the next statement of the team may go there.
	Used bool `json:"used"`
	// DownMs is the time for which the host gets no work, as it failed.
	DownMs float64 `json:"down_ms,omitempty"`
}

// ReportedLoad is a concurrency.Load. Without Complete, only the service time is known.
type ReportedLoad struct {
	Complete      bool    `json:"complete"`
	Limit         int     `json:"limit"`
	InFlight      int     `json:"in_flight"`
	Waiting       int     `json:"waiting"`
	ServiceTimeMs float64 `json:"service_time_ms"`
	AgeMs         float64 `json:"age_ms"`
}

// explainEndpoints adds the endpoints of the group, and returns the outcome of the choice.
func (gw *Gateway) explainEndpoints(now time.Time, x *Explanation, db Database, team access.Team, writes bool) Outcome {
	g := gw.group(db.Group)
	if g == nil {
		return refusedOutcome(metrics.RefusedNoPrimary, "this host does not know the group")
	}
	req := newRequirement(db, logpos.Position{}, now, writes)
	r := connRequest{QueuedRequest: db.queuedRequest(now), team: team.Name, share: team.Share, database: db.Name, primaryOnly: req.primary}
	g.mu.Lock()
	defer g.mu.Unlock()
	likeliest, shares := g.explainChoice(now, req)
	n := g.need(req)
	for _, id := range slices.Sorted(maps.Keys(g.targets)) {
		t := g.targets[id]
		e := g.explainTarget(now, t, r)
		e.Excluded, e.Share = string(g.exclusion(now, t, req, n)), shares[id]
		x.Endpoints = append(x.Endpoints, e)
	}
	if likeliest != nil {
		return likeliest.explainQueue(now, r, shares[likeliest.ID])
	}
	if g.refusesToWait(now) {
		return refusedOutcome(metrics.RefusedNoPrimary, "no endpoint can serve the statement, and the host is cut off or the primary has drained")
	}
	out := refusedOutcome(metrics.RefusedNoPrimary, fmt.Sprintf("until an endpoint can serve the statement, at most %d ms", db.Timeout.Milliseconds()))
	out.Result = ResultWaits
	return out
}

// explainChoice returns the target that group.choose would most likely choose, or nil, and the
// probability of each by ID. It changes nothing. The group's mutex must be held.
func (g *group) explainChoice(now time.Time, req requirement) (likeliest *target, shares map[string]float64) {
	shares = make(map[string]float64)
	able, primaryOnly := g.able(now, req)
	if !primaryOnly {
		var admitted []choice
		for _, c := range able {
			if g.health.WouldAdmit(c.target.ID) {
				admitted = append(admitted, c)
			}
		}
		if len(admitted) > 0 {
			able = admitted
		}
	}
	if len(able) == 0 {
		return nil, shares
	}
	if primaryOnly || !g.pool.adaptiveConcurrency {
		t := able[g.cheapest(able)].target
		shares[t.ID] = 1
		return t, shares
	}
	candidates := make([]routing.ReadCandidate, 0, len(able))
	for _, c := range able {
		load, added, ok := c.target.peekLoad(now)
		candidates = append(candidates, g.candidateByLoad(c.target, load, added, ok))
	}
	most := 0.0
	for i, share := range routing.Shares(candidates) {
		shares[able[i].target.ID] = share
		if share > most {
			likeliest, most = able[i].target, share
		}
	}
	return likeliest, shares
}

// explainTarget returns what this host knows of the target. The group's mutex must be held.
func (g *group) explainTarget(now time.Time, t *target, r connRequest) EndpointExplanation {
	out := EndpointExplanation{
		ID: t.ID, Role: "replica", Zone: t.AvailabilityZone, BackoffMs: inMs(max(t.backoffUntil.Sub(now), 0)),
		LagMs: inMs(t.lag.Estimate(now)), HealthWeight: g.health.Weight(t.ID), Direct: !t.usesRelay(), Relays: t.explainRelays(now, r),
		InFlight: t.inFlight, Waiting: t.waiting.len(), Window: t.window,
		ExpectedWaitMs: inMs(t.expectedWait()), CostMs: inMs(g.cost(t)),
	}
	if t.ID == g.primary {
		out.Role = "primary"
	}
	if !g.pool.adaptiveConcurrency {
		return out
	}
	load, added, ok := t.peekLoad(now)
	if ok {
		out.Reported = &ReportedLoad{Complete: load.Complete, Limit: load.Limit, InFlight: load.InFlight, Waiting: load.Waiting, ServiceTimeMs: inMs(load.ServiceTime), AgeMs: inMs(load.Age)}
	}
	cost := g.candidateByLoad(t, load, added, ok).Cost
	out.ExpectedWaitMs, out.CostMs = inMs(cost-g.penalty(t)), inMs(cost)
	return out
}

// explainRelays returns the relay hosts of the target, those that the request may use first. The
// group's mutex must be held.
func (t *target) explainRelays(now time.Time, r connRequest) []RelayExplanation {
	if !t.usesRelay() {
		return nil
	}
	used, all := t.relayRoute.Upcoming(), []string(nil)
	if !t.relayRoute.Active() {
		used, all = t.usableRelays(now, r), t.relays
	}
	var out []RelayExplanation
	add := func(address string, isUsed bool) {
		out = append(out, RelayExplanation{Address: address, Used: isUsed, DownMs: inMs(max(t.relayDownUntil[address].Sub(now), 0))})
	}
	for _, address := range used {
		add(address, true)
	}
	for _, address := range all {
		if !slices.Contains(used, address) {
			add(address, false)
		}
	}
	return out
}

// explainQueue returns what would happen to the request at the target. share is the probability
// of this target. The group's mutex must be held.
func (t *target) explainQueue(now time.Time, r connRequest, share float64) Outcome {
	out := Outcome{Result: ResultSent, Endpoint: t.ID}
	if share < 1 {
		out.Detail = fmt.Sprintf("with probability %.2f; reads are spread over the endpoints", share)
	}
	if t.refusesByReports(r) {
		if load, _, ok := t.peekLoad(now); ok && reportsRefuse(now, load, r) {
			out = refusedOutcome(metrics.RefusedExpectedWait, fmt.Sprintf("the hosts with connections report a queue that is too long; %.0f%% of the statements are sent nevertheless", 100*passEarlyShare))
			out.Endpoint = t.ID
			return out
		}
	}
	if t.mayStart(now) && (t.hasRoom() || t.hasIdle(r.team)) {
		return out
	}
	if t.refusesToQueue(now, r) && r.primaryOnly {
		out = refusedOutcome(metrics.RefusedExpectedWait, "too many statements wait for a connection to the endpoint")
		out.Endpoint = t.ID
		return out
	}
	if t.refusesToQueue(now, r) {
		out.Result, out.Reason = ResultWaits, string(metrics.RefusedExpectedWait)
		out.Detail = joinDetails("too many statements wait for a connection to the endpoint; others are tried within the retry budget", out.Detail)
		return out
	}
	out.Result, out.Reason = ResultWaits, string(metrics.RefusedExpectedWait)
	out.Detail = joinDetails("for a connection to the endpoint, and chooses again after "+requeueAfter.String(), out.Detail)
	return out
}

// hasIdle reports whether a connection of the team is idle. The group's mutex must be held.
func (t *target) hasIdle(team string) bool {
	return slices.ContainsFunc(t.idle, func(c *conn) bool { return c.team == team })
}
