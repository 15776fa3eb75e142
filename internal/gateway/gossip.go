package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// gossipInterval is the time between two gossip rounds.
	gossipInterval = 250 * time.Millisecond
	// gossipTimeout limits one exchange of gossip with another host.
	gossipTimeout = 400 * time.Millisecond
)

// startGossipRound makes the next tick start a gossip round, with all hosts if toAll is
// set. In a large fleet only changes that every host must learn of at once justify that.
func (c *controller) startGossipRound(toAll bool) {
	c.lastGossip = time.Time{}
	c.gossipToAll = c.gossipToAll || toAll
}

// gossip starts a gossip round if one is due.
func (c *controller) gossip(now time.Time) {
	for _, m := range c.dueGossipTargets(now) {
		msg := c.gossipMessage(now, m.mirrorVersions)
		c.addReports(now, &msg, c.passesReportsOn())
		c.startExchange(m.Name, m.Address, msg)
	}
	if c.lastGossip.Equal(now) && len(c.members) == 0 && len(c.gw.cfg.Seeds) > 0 {
		seed := c.gw.cfg.Seeds[rand.N(len(c.gw.cfg.Seeds))]
		c.startExchange("", seed, c.gossipMessage(now, nil))
	}
}

// startExchange starts an exchange of gossip with one host.
func (c *controller) startExchange(name, address string, msg GossipMessage) {
	c.spawn("gossip", func() { c.exchange(name, address, msg) })
}

// dueGossipTargets returns the hosts to call now and marks them as called: those of the
// next round if it is due, otherwise none. A host that must begin to ask the majority does
// not wait for the next round, since its permission would end meanwhile.
func (c *controller) dueGossipTargets(now time.Time) []*member {
	beginsToAsk := !c.askingMajority && c.mustAskMajority(now)
	if now.Sub(c.lastGossip) < gossipInterval && !beginsToAsk {
		return nil
	}
	c.lastGossip = now
	c.gossipRound++
	targets := c.nextGossipTargets(now)
	c.countCalls(now, len(targets))
	for _, m := range targets {
		m.calledAt, m.callInFlight = now, true
	}
	return targets
}

// nextGossipTargets returns the hosts to call in the round that starts now.
func (c *controller) nextGossipTargets(now time.Time) []*member {
	toAll := c.gossipToAll
	c.gossipToAll = false
	return c.gossipTargets(now, toAll)
}

// countCalls counts the calls of a gossip round.
func (c *controller) countCalls(now time.Time, calls int) {
	c.gw.metrics.Add(metrics.GossipCalls, int64(calls))
	if c.claimsTooOld(now) {
		c.gw.metrics.Add(metrics.GossipClaimsLate, int64(calls))
	}
}

// recordFailedCall records a failed call to a host. After a refused connection the host counts as
// unresponsive at once, as its process has probably ended.
func (c *controller) recordFailedCall(name string, err error) {
	m := c.members[name]
	if m == nil {
		return
	}
	m.failedAt = boottime.Now()
	m.failures++
	if c.gw.cfg.Peers.Refused(err) {
		m.failures = max(m.failures, failuresUntilUnresponsive)
	}
}

// exchange exchanges gossip with one host. It must not run on the controller goroutine.
func (c *controller) exchange(name, address string, msg GossipMessage) {
	ctx, cancel := context.WithTimeout(c.gw.ctx, gossipTimeout)
	defer cancel()
	began := boottime.Now()
	theirs, err := c.gw.cfg.Peers.Exchange(ctx, address, msg)
	c.submit(func() {
		if m := c.members[name]; m != nil {
			m.callInFlight = false
		}
		if err != nil {
			c.gw.metrics.Inc(metrics.GossipFailed)
			c.recordFailedCall(name, err)
			return
		}
		c.applyGossip(theirs, began)
	})
}

// ReceiveGossip applies another host's gossip and returns this host's. It may be called
// from any goroutine.
func (gw *Gateway) ReceiveGossip(msg GossipMessage) GossipMessage {
	var own GossipMessage
	gw.controller.submitAndWait(func() {
		gw.controller.applyGossip(msg, time.Time{})
		now := boottime.Now()
		own = gw.controller.gossipMessage(now, msg.MirrorVersions)
		gw.controller.addReports(now, &own, true)
	})
	return own
}

// gossipMessage returns the message for a host whose mirrors are complete up to
// mirrorVersions.
func (c *controller) gossipMessage(now time.Time, mirrorVersions map[TableName]uint64) GossipMessage {
	msg := GossipMessage{
		Host: c.gw.cfg.Host, Incarnation: c.incarnation, Leaving: c.leaving,
		MirrorVersions: make(map[TableName]uint64), MirrorAges: make(map[TableName]time.Duration),
	}
	msg.Unresponsive, msg.FailedCallAges = c.unresponsiveHosts(), c.failedCallAges(now)
	msg.EvidenceAge = c.evidenceAge(now)
	if c.unregistering {
		// Decisions do not wait for a voter without a row, so that its answers must not
		// count any more.
		msg.Incarnation, msg.EvidenceAge = 0, nil
	}
	for name, at := range c.completeAsOf {
		msg.MirrorAges[name] = now.Sub(at)
	}
	for name, t := range c.tables {
		msg.MirrorVersions[name] = t.Through()
		from, known := mirrorVersions[name]
		if !known || from >= t.Through() {
			continue
		}
		msg.Tables = append(msg.Tables, TableChanges{Table: name, From: from, Through: t.Through(), Rows: t.Since(from)})
	}
	for name, g := range *c.gw.currentGroups.Load() {
		msg.Groups = append(msg.Groups, g.gossipState(name, now))
	}
	return msg
}

// gossipState returns what this host knows about the group.
func (g *group) gossipState(name string, now time.Time) GroupState {
	g.mu.Lock()
	defer g.mu.Unlock()
	position, at := g.staleness.NewestSample()
	return GroupState{Group: name, Term: g.term, Primary: g.primary, Position: position, Age: now.Sub(at), Fence: g.fence}
}

// applyGossip applies another host's message. began is when this host began the
// exchange in which the message arrived, or zero if the other host made the call.
func (c *controller) applyGossip(msg GossipMessage, began time.Time) {
	now := boottime.Now()
	if msg.Invalid > 0 {
		c.gw.metrics.Add(metrics.GossipInvalid, int64(msg.Invalid))
		c.gw.events.request.Warn().Str("member", msg.Host).Int("parts", msg.Invalid).Msg("parts of a gossip message are out of range")
	}
	if m := c.members[msg.Host]; m != nil {
		if m.Incarnation == msg.Incarnation {
			m.lastContact, m.failedAt, m.failures = now, time.Time{}, 0
			m.leaving = m.leaving || msg.Leaving
			m.mirrorVersions = msg.MirrorVersions
		}
	}
	for _, name := range msg.Unresponsive {
		if m := c.members[name]; m != nil {
			m.reportedUnresponsiveAt = now
		}
	}
	for name, age := range msg.FailedCallAges {
		if m := c.members[name]; m != nil {
			m.recordReportedFailure(now.Add(-age))
		}
	}
	for _, t := range msg.Tables {
		c.applyChanges(t)
	}
	for name, age := range msg.MirrorAges {
		version, known := msg.MirrorVersions[name]
		if !began.IsZero() && known && c.tables[name] != nil && c.tables[name].Through() >= version {
			c.markComplete(name, began.Add(-age))
		}
	}
	// The fences come first: the permission may last longer only once they are known.
	for _, state := range msg.Groups {
		if g := c.gw.group(state.Group); g != nil {
			c.applyGroupState(g, state, began)
			asOf := now
			if !began.IsZero() {
				asOf = began
			}
			g.applyReports(state.Endpoints, asOf)
		}
	}
	c.recordAnswer(msg, began)
	c.applyEvidence(msg, began)
	c.updatePermission()
}

// recordAnswer records that a host answered the call that this host began at the given time.
// The rows and fences of the message must have been applied before.
//
// An answer counts towards a majority only if this host now knows every claim and every
// change of the electorate that the other host knows.
func (c *controller) recordAnswer(msg GossipMessage, began time.Time) {
	m := c.members[msg.Host]
	if m == nil || m.Incarnation != msg.Incarnation || msg.Invalid > 0 {
		return
	}
	if msg.MirrorVersions[TableState] <= c.tables[TableState].Through() && began.After(m.answeredAt) {
		m.answeredAt = began
	}
}

// applyGroupState applies another host's view of a group. The age of the position is
// counted from when this host began the exchange, so that the position never looks
// newer than it is. Positions in messages that this host received as the callee are
// ignored, because such a message may have been delayed.
func (c *controller) applyGroupState(g *group, state GroupState, began time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.learnFence(state.Fence, boottime.Now(), fenceFromGossip)
	if state.Term == 0 {
		return
	}
	if state.Primary != "" && state.Term > g.term && g.setPrimary(state.Term, state.Primary, state.Position) {
		c.gw.events.log.Info().Str("group", g.name).Uint64("term", state.Term).Str("primary", state.Primary).Msg("another host reports a new primary")
	}
	if !began.IsZero() && state.Term == g.term && state.Position.Term == g.term {
		g.staleness.Sample(began.Add(-state.Age), state.Position)
	}
}
