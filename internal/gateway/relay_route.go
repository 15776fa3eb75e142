package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// maxRelayCandidates limits how many hosts are asked whether they reach an endpoint. At
// least one of that many does, unless nearly all hosts are cut off.
const maxRelayCandidates = 16

// cutOffDuration is how long a host counts as cut off after most of the other hosts did
// not answer it. It is longer than the time between two failed probes.
const cutOffDuration = time.Second

// cutOff reports whether this host reaches neither the primary nor most of the other
// hosts. It can then neither use the primary, directly or through a relay, nor replace
// it. This happens to hosts on the smaller side of a network partition. Work that needs
// the primary is refused at once, so that the caller has time to go to another host.
// After an ordinary loss of the primary such work waits for the next primary instead,
// since other hosts could not serve it either. The mutex must be held.
func (g *group) cutOff(now time.Time) bool { return now.Before(g.cutOffUntil) }

// findRelays asks other hosts whether they reach the endpoint, and routes new
// connections through those that do. It returns false if none does. It blocks and must
// not run on the controller goroutine.
func (c *controller) findRelays(ctx context.Context, t *target) bool {
	g := t.group
	g.mu.Lock()
	e, direct, scarce := t.Endpoint, !t.viaRelays, c.connectionsScarce(t)
	g.mu.Unlock()
	if !direct {
		// The relay hosts have to find another route.
		return false
	}
	var own string
	var addresses map[string]string
	c.submitAndWait(func() { own, addresses = c.ownAddress(), c.relayCandidates(e, scarce) })
	poll := c.pollHosts(ctx, own, addresses, FenceRequest{Group: g.name, QueryOnly: true}, primaryReportTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !poll.reachesMost() {
		c.gw.events.log.Info().Str("group", g.name).Int("asked", len(poll.asked)).Int("answered", len(poll.replies)).Msg("host is cut off")
		g.cutOffUntil = boottime.Now().Add(cutOffDuration)
		g.notify()
	}
	if g.primary != t.ID || t.viaRelays || t.removed {
		return false
	}
	var relays []string
	for address, r := range poll.replies {
		if r.Term == g.term && r.reachesPrimary() {
			relays = append(relays, address)
		}
	}
	if len(relays) > 0 && !t.relayRoute.Active() {
		c.gw.events.log.Info().Str("group", g.name).Str("endpoint", t.ID).Int("asked", len(poll.asked)).
			Int("via", len(relays)).Msg("endpoint reached through other hosts")
		t.closeIdle()
		t.clearBackoff()
	}
	t.relayRoute.SetRelays(boottime.Now(), relays)
	g.notify()
	return len(relays) > 0
}

// relayCandidates returns hosts to ask whether they reach the endpoint, with their
// addresses. If connections are scarce, the hosts that should have connections to the
// endpoint come first.
func (c *controller) relayCandidates(e Endpoint, scarce bool) map[string]string {
	addresses := make(map[string]string)
	if scarce {
		for _, h := range c.liveHostsByZone(boottime.Now()).rankDirectHosts(e, directHosts) {
			if m := c.members[h.Name]; m != nil {
				addresses[h.Name] = m.Address
			}
		}
	}
	for name, m := range c.members {
		if len(addresses) < maxRelayCandidates {
			addresses[name] = m.Address
		}
	}
	return addresses
}

// clearRelayRoute returns to direct connections. The group's mutex must be held.
func (t *target) clearRelayRoute() {
	if t.relayRoute.Clear() {
		t.closeIdle()
		t.group.notify()
	}
}

// tryDirect starts an attempt to connect directly to an endpoint that is reached
// through relay hosts, if one is due. The group's mutex must be held.
func (c *controller) tryDirect(now time.Time, t *target) {
	if !t.relayRoute.TryDirect(now) {
		return
	}
	e := t.Endpoint
	c.spawn("try direct connection", func() {
		ctx, cancel := context.WithTimeout(c.gw.ctx, dialTimeout)
		defer cancel()
		conn, err := c.gw.cfg.Dialer.Dial(ctx, e, "")
		if err != nil {
			// The endpoint is still out of reach. More hosts may reach it by now.
			c.findRelays(c.gw.ctx, t)
			return
		}
		if err := conn.Close(); err != nil {
			c.gw.events.log.Debug().Str("endpoint", e.ID).Err(err).Msg("closing the probe connection failed")
		}
		c.gw.events.log.Info().Str("group", e.Group).Str("endpoint", e.ID).Msg("endpoint reached directly again")
		t.group.mu.Lock()
		defer t.group.mu.Unlock()
		t.clearRelayRoute()
	})
}
