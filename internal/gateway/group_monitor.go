package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/placement"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

const (
	// probeAfterSilence is how long a statement must be unanswered, with no other
	// answer from its endpoint, before the endpoint is probed.
	probeAfterSilence = 250 * time.Millisecond
	// probeInterval is the minimum time between two probes of one group.
	probeInterval = 100 * time.Millisecond
	// surveyInterval is the minimum time between two surveys of a group without a known
	// primary.
	surveyInterval = 150 * time.Millisecond
)

// groupMonitor is the controller's state of one group.
type groupMonitor struct {
	// unreachableSince is when the first of an unbroken series of failed probes began;
	// unreachableEndpoint is the probed endpoint.
	unreachableSince    time.Time
	unreachableEndpoint string
	primaryLostSince    time.Time
	// unclaimedSince is when this host found that the primary was promoted without a claim;
	// zero if it was not.
	unclaimedSince    time.Time
	failoverAbortedAt time.Time
	probing           bool
	lastProbe         time.Time
	surveying         bool
	lastSurvey        time.Time
	failoverRunning   bool
	// claim is the newest known claim and its row version.
	claim        claimRecord
	claimVersion uint64
	// replicaSetVersion is the version of the replica set's row; replicaSetDeleted is true
	// if that version is a deletion.
	replicaSetVersion uint64
	replicaSetDeleted bool
	// updatingReplicaSet is true while this host checks or writes the replica set.
	updatingReplicaSet bool
}

func newGroupMonitor() *groupMonitor { return &groupMonitor{} }

// requestProbe requests a probe of the primary of the target's group. It may be called
// from any goroutine.
func (c *controller) requestProbe(t *target) {
	c.spawn("request probe", func() {
		c.submit(func() {
			if m := c.monitors[t.group.name]; m != nil {
				c.probe(boottime.Now(), t.group, m)
			}
		})
	})
}

// checkGroup starts a failover if the group's primary must be replaced.
func (c *controller) checkGroup(now time.Time, name string, g *group) {
	m := c.monitors[name]
	v := c.successionView(now, g, m)
	if m.failoverRunning {
		return
	}
	if reason := succession.Decide(v); reason != succession.ReasonNone && !c.leaving {
		m.failoverRunning = true
		c.gw.events.log.Info().Str("group", name).Str("reason", string(reason)).Int("rank", v.Rank).Msg("replacing the primary")
		c.spawn("failover", func() { c.runFailover(g, reason) })
	}
}

// successionView returns what this host knows about the group, as input for the
// failover decision.
func (c *controller) successionView(now time.Time, g *group, m *groupMonitor) succession.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := succession.View{Now: now, AbortedAt: m.failoverAbortedAt}
	primary := g.targets[g.primary]
	if primary == nil {
		if m.primaryLostSince.IsZero() {
			m.primaryLostSince = now
		}
		v.NeverSawPrimary = g.term == 0
		c.surveyIfDue(now, g, m)
	} else {
		m.primaryLostSince = time.Time{}
		c.probeIfUnresponsive(now, g, m, primary)
		c.tryDirect(now, primary)
		if primary.leaving(now) {
			v.DrainingSince = primary.drainingSince
		}
	}
	if m.unreachableEndpoint == g.primary {
		v.UnreachableSince = m.unreachableSince
	}
	if c.endpointsLoaded {
		v.LostSince = m.primaryLostSince
	}
	if g.fenced() && g.term > 0 {
		v.FencedAt = g.fencedAt
	}
	switch {
	case !g.unclaimed():
		m.unclaimedSince = time.Time{}
	case m.unclaimedSince.IsZero():
		m.unclaimedSince = now
	}
	v.UnclaimedSince = m.unclaimedSince
	// Another host may have taken the claim over, which a fence request tells before the row.
	v.HoldsClaim = m.claim.Holder == c.gw.cfg.Host && m.claim.Incarnation == c.incarnation && m.claimVersion >= g.fence.Version
	for id, t := range g.targets {
		if id != g.primary && !t.leaving(now) {
			v.Successors++
		}
	}
	if !v.NeedsNoFailover() {
		v.Rank = c.failoverRank(now, g.name, m, primary)
	}
	return v
}

// surveyIfDue starts a survey of a group without a primary, if one is due.
func (c *controller) surveyIfDue(now time.Time, g *group, m *groupMonitor) {
	if m.surveying || now.Sub(m.lastSurvey) < surveyInterval || len(g.targets) == 0 {
		return
	}
	m.surveying, m.lastSurvey = true, now
	c.spawn("survey", func() {
		c.survey(g, nil)
		c.submit(func() { m.surveying = false })
	})
}

// probeIfUnresponsive probes the primary if an answer is overdue or a connection to it
// failed. The group's mutex must be held.
func (c *controller) probeIfUnresponsive(now time.Time, g *group, m *groupMonitor, primary *target) {
	oldest := primary.oldestInFlight()
	overdue := !oldest.IsZero() && now.Sub(oldest) > probeAfterSilence && now.Sub(primary.answeredAt) > probeAfterSilence
	if overdue || primary.failures > 0 {
		c.probeLocked(now, g, m)
	}
}

// probe asks the group's primary for its status, unless a probe is running or was
// started too recently.
func (c *controller) probe(now time.Time, g *group, m *groupMonitor) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.probeLocked(now, g, m)
}

func (c *controller) probeLocked(now time.Time, g *group, m *groupMonitor) {
	t := g.targets[g.primary]
	if t == nil || m.probing || now.Sub(m.lastProbe) < probeInterval {
		return
	}
	m.probing, m.lastProbe = true, now
	c.spawn("probe", func() {
		_, err := c.queryStatus(t)
		if err != nil && !errors.Is(err, errStatusRefused) && !errors.Is(err, errRelayRefused) {
			c.probeFailed(t, now)
		}
		c.submit(func() { c.recordProbe(g, m, t, now, err) })
	})
}

// probeFailed looks for relay hosts to an endpoint that has not answered since began.
func (c *controller) probeFailed(t *target, began time.Time) {
	g := t.group
	g.mu.Lock()
	unresponsive := !t.answeredAt.After(began)
	g.mu.Unlock()
	if !unresponsive || c.findRelays(c.gw.ctx, t) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t.clearRelayRoute()
}

// recordProbe records the result of a probe that began at the given time.
func (c *controller) recordProbe(g *group, m *groupMonitor, t *target, began time.Time, err error) {
	m.probing = false
	if errors.Is(err, errRelayRefused) {
		// The relay host refused the probe, so nothing is known about the endpoint.
		return
	}
	g.mu.Lock()
	answered := t.answeredAt
	g.mu.Unlock()
	if err == nil || answered.After(began) {
		m.unreachableEndpoint, m.unreachableSince = "", time.Time{}
		return
	}
	if m.unreachableEndpoint != t.ID {
		m.unreachableEndpoint, m.unreachableSince = t.ID, began
	}
}

// applyClaim applies a claim record from the store or another host.
func (c *controller) applyClaim(name string, r rows.Row) {
	m := c.monitors[name]
	g := c.gw.group(name)
	if m != nil && g != nil {
		c.applyClaimTo(g, m, r)
	}
}

// applyClaimTo is applyClaim for a group that may not be in use yet.
func (c *controller) applyClaimTo(g *group, m *groupMonitor, r rows.Row) {
	if r.Deleted || r.Version <= m.claimVersion {
		return
	}
	claim, err := decodeRecord[claimRecord](r)
	if err != nil {
		c.gw.events.log.Warn().Err(err).Msg("claim row cannot be decoded")
		return
	}
	m.claim, m.claimVersion = claim, r.Version
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learnFence(claim.fenceState(r.Version), boottime.Now(), fenceFromRow)
}

// failoverRank returns the number of live hosts that may start a failover before this
// one. The holder of the last claim goes first, so that the holder rarely changes.
func (c *controller) failoverRank(now time.Time, group string, m *groupMonitor, primary *target) int {
	rank := 0
	if primary == nil || !c.connectionsScarce(primary) {
		rank = c.rankInGroup(now, group)
	} else {
		// Only hosts with direct connections notice that the primary does not answer.
		rank = c.liveHostsByZone(now).directPosition(primary.Endpoint, c.gw.cfg.Host)
	}
	holder := m.claim.Holder
	switch {
	case holder == c.gw.cfg.Host:
		return 0
	case holder != "" && c.members[holder] != nil && c.members[holder].alive(now):
		return rank + 1
	}
	return rank
}

// rankInGroup returns the number of live hosts that rank before this one for the group.
func (c *controller) rankInGroup(now time.Time, group string) int {
	return placement.Position(group, c.liveHosts(now), c.gw.cfg.Host)
}
