package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/concurrency"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// recoveredPerSlot is the limit for each slot from which an endpoint no longer counts as
// reduced. It is above the limit of one for each slot below which it begins to count, so
// that a limit near the slots causes no lines in the log.
const recoveredPerSlot = 1.5

// applyShare starts, updates or ends the learning of the endpoint's concurrency limit, and
// sets the window accordingly. The limit is learned where this host has direct connections
// and the hosts are few enough to keep a limit together. The group's mutex must be held.
func (t *target) applyShare(plan connPlan) {
	t.directHosts, t.rank = plan.directHosts, plan.rank
	if !t.group.pool.adaptiveConcurrency || plan.viaRelays || plan.directHosts == 0 || plan.directHosts > concurrency.MaxPerSlot*max(t.Slots, 1) {
		t.limiter, t.reduced = nil, false
		return
	}
	share := concurrency.Share{Slots: t.Slots, Hosts: plan.directHosts, Rank: plan.rank}
	if t.limiter == nil {
		t.limiter = concurrency.NewLimiter(share)
	} else {
		t.limiter.SetShare(share)
	}
	t.window = t.limiter.Window()
}

// observeLimit updates the endpoint's concurrency limit with a statement that was sent at
// began and has ended.
func (p *pool) observeLimit(c *conn, began time.Time, r Request, reply *Reply, err error) {
	if !p.adaptiveConcurrency || c.relayAddress != "" || errors.Is(err, errPrimaryReplaced) || notStarted(err) {
		return
	}
	now := boottime.Now()
	t := c.target
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	kind, ok := statementKind(c.database, r)
	outcome, counts := statementOutcome(reply, err)
	if t.limiter == nil || !ok || !counts {
		return
	}
	before := t.limiter.Limit()
	sample := concurrency.Sample{
		Kind: kind, Outcome: outcome, Took: now.Sub(began),
		InFlight: c.inFlightAtSend, OthersInFlight: t.view.OthersInFlight(now, t.rank),
	}
	if !t.limiter.Observe(now, sample) {
		return
	}
	t.window = t.limiter.Window()
	if t.limiter.Limit() < before {
		p.metrics.Inc(metrics.ConcurrencyLowered)
	} else {
		p.metrics.Inc(metrics.ConcurrencyRaised)
	}
	t.logReduced()
}

// statementKind returns the kind of the statement, for which the endpoint has a response
// time of its own. It returns false for statements that the proxy sends for itself.
func statementKind(database string, r Request) (concurrency.Kind, bool) {
	switch r.Op {
	case session.OpBegin, session.OpBeginRead, session.OpCommit, session.OpRead, session.OpWrite, session.OpExecute:
	default:
		return concurrency.Kind{}, false
	}
	class := uint8(r.Op) << 1
	if r.Writes {
		class++
	}
	return concurrency.Kind{Database: database, Class: class}, true
}

// statementOutcome returns how a statement ended. It returns false if that says nothing
// about how the endpoint copes.
func statementOutcome(reply *Reply, err error) (concurrency.Outcome, bool) {
	switch {
	case err != nil:
		return concurrency.Lost, true
	case reply.OK():
		return concurrency.Answered, true
	case reply.Code == CodeBusy || reply.Code == CodeFailed:
		return concurrency.Rejected, true
	}
	return 0, false
}

// logReduced logs when the limit falls below the endpoint's slots, and when it has risen
// again. The group's mutex must be held.
func (t *target) logReduced() {
	limit, slots := t.limiter.Limit(), float64(max(t.Slots, 1))
	reduced := limit < slots && !t.limiter.Starting() || t.reduced && limit < recoveredPerSlot*slots
	if reduced == t.reduced {
		return
	}
	t.reduced = reduced
	message := "endpoint takes its slots again"
	if reduced {
		message = "endpoint takes fewer statements than it has slots"
	}
	t.group.pool.log.Info().Str("group", t.group.name).Str("endpoint", t.ID).Float64("limit", limit).Int("slots", t.Slots).
		Int("window", t.window).Dur("response_ms", t.serviceTime).Float64("failure_share", t.limiter.FailureShare()).Msg(message)
}

// reportWindows sets the gauges of the learned limits.
func (c *controller) reportWindows() {
	if !c.gw.cfg.AdaptiveConcurrency {
		return
	}
	windows, reduced := 0, 0
	for _, g := range *c.gw.currentGroups.Load() {
		g.mu.Lock()
		for _, t := range g.targets {
			if t.limiter == nil {
				continue
			}
			windows += t.window
			if t.reduced {
				reduced++
			}
		}
		g.mu.Unlock()
	}
	c.gw.metrics.SetGauge(metrics.ConcurrencyWindows, int64(windows))
	c.gw.metrics.SetGauge(metrics.ConcurrencyReduced, int64(reduced))
}
