package gateway

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// EndpointReports is what hosts with connections to an endpoint see there.
type EndpointReports struct {
	Endpoint string
	// Reports have ages instead of times in a gossip message.
	Reports []EndpointReport
}

// EndpointReport is a concurrency.Report whose AsOf is Age before the message.
type EndpointReport struct {
	concurrency.Report
	Age time.Duration
}

// addReports adds the reports on endpoints to a message: those of this host, and with all
// set those of other hosts as well.
func (c *controller) addReports(now time.Time, msg *GossipMessage, all bool) {
	if !c.gw.cfg.AdaptiveConcurrency {
		return
	}
	for i := range msg.Groups {
		if g := c.gw.group(msg.Groups[i].Group); g != nil {
			msg.Groups[i].Endpoints = g.endpointReports(now, all)
		}
	}
}

// passesReportsOn reports whether this host calls others with the reports of all hosts. In a
// large fleet only zone aggregators do, so that most messages stay small; the others get
// all reports with the answers.
func (c *controller) passesReportsOn() bool {
	return len(c.members) <= smallFleetSize || c.isAggregator
}

// endpointReports returns the reports on the group's endpoints.
func (g *group) endpointReports(now time.Time, all bool) []EndpointReports {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []EndpointReports
	for _, id := range slices.Sorted(maps.Keys(g.targets)) {
		t := g.targets[id]
		own, reports := t.mergeOwnReport(now), EndpointReports{Endpoint: id}
		for _, r := range t.view.Fresh(now) {
			if all || own && r.Rank == t.rank {
				reports.Reports = append(reports.Reports, EndpointReport{Report: r, Age: now.Sub(r.AsOf)})
			}
		}
		if len(reports.Reports) > 0 {
			out = append(out, reports)
		}
	}
	return out
}

// applyReports merges the reports of another host's message, whose ages count from the
// given time.
func (g *group) applyReports(endpoints []EndpointReports, at time.Time) {
	if !g.pool.adaptiveConcurrency {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range endpoints {
		t := g.targets[e.Endpoint]
		if t == nil {
			continue
		}
		for _, r := range e.Reports {
			r.AsOf = at.Add(-r.Age)
			t.view.Merge(r.Report)
		}
	}
}

// mergeOwnReport adds what this host sees at the endpoint to the view. It returns false if
// this host has no connections to it, or has not used them lately. The group's mutex must be
// held.
func (t *target) mergeOwnReport(now time.Time) bool {
	r, ok := t.ownReport(now)
	if ok {
		t.view.Merge(r)
	}
	return ok
}

// ownReport returns what this host sees at the endpoint. It returns false in the cases of
// mergeOwnReport. It changes nothing.
func (t *target) ownReport(now time.Time) (concurrency.Report, bool) {
	if t.usesRelay() || t.directHosts == 0 || t.inFlight+t.waiting.len() == 0 && now.Sub(t.answeredAt) > concurrency.ReportLifetime {
		return concurrency.Report{}, false
	}
	r := concurrency.Report{
		Rank: t.rank, Hosts: t.directHosts, Limit: statementsPerSlot * max(t.Slots, 1),
		InFlight: t.inFlight, ServiceTime: t.serviceTime, AsOf: now,
	}
	if t.limiter != nil {
		r.Limit = int(math.Round(t.limiter.Limit()))
	}
	if oldest := t.oldestInFlight(); !oldest.IsZero() && now.Sub(oldest) > overdueFactor*t.serviceTime {
		// The endpoint may hang, and the mean is that of earlier answers.
		r.ServiceTime = now.Sub(oldest)
	}
	for _, w := range t.waiting.waiters {
		if !w.ObjectiveMissed(now) {
			r.Waiting++
			r.LastPriority = max(r.LastPriority, w.Priority)
		}
	}
	return r, true
}

// load returns the load of the endpoint from all hosts, and the number of this host's
// statements that it may not contain. It returns false if there are no fresh reports. The
// group's mutex must be held.
func (t *target) load(now time.Time) (load concurrency.Load, added int, ok bool) {
	direct := t.mergeOwnReport(now)
	return t.loadByView(now, &t.view, direct)
}

// peekLoad returns what load returns. It changes nothing.
func (t *target) peekLoad(now time.Time) (load concurrency.Load, added int, ok bool) {
	own, direct := t.ownReport(now)
	if !direct {
		return t.loadByView(now, &t.view, false)
	}
	view := t.view.With(own)
	return t.loadByView(now, &view, true)
}

// loadByView returns the load by the reports of the view, which contains this host's own report
// if direct is true.
func (t *target) loadByView(now time.Time, view *concurrency.View, direct bool) (load concurrency.Load, added int, ok bool) {
	load, ok = view.Load(now)
	if !direct {
		added = t.inFlight + t.waiting.len()
	}
	return load, added, ok
}

// passEarlyShare is the share of the statements that are sent although the reports call for
// a refusal, so that answers show when the endpoint has become faster.
const passEarlyShare = 1.0 / 8

// refuseEarly reports whether a request for the primary should be refused here, because the
// hosts with connections to it report a queue that is too long. It saves the way to the
// relay host, which would refuse the request as well. The group's mutex must be held.
func (t *target) refuseEarly(now time.Time, r connRequest) bool {
	if !t.refusesByReports(r) {
		return false
	}
	load, _, ok := t.load(now)
	if !ok || !reportsRefuse(now, load, r) || rand.Float64() < passEarlyShare {
		return false
	}
	t.group.pool.metrics.Inc(metrics.ConcurrencyRefusedEarly)
	return true
}

// refusesByReports reports whether the request may be refused by reports of other hosts.
func (t *target) refusesByReports(r connRequest) bool {
	return t.group.pool.adaptiveConcurrency && r.primaryOnly && t.viaRelays && !t.relayRoute.Active()
}

// reportsRefuse reports whether the load calls for a refusal of the request.
func reportsRefuse(now time.Time, load concurrency.Load, r connRequest) bool {
	return load.Complete && r.ShouldRefuse(now, load.LeastWait(r.Priority))
}
