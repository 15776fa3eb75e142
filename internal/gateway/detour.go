package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// detourAsked bounds how many hosts are asked whether they reach an endpoint. Among
// so many, one that does is found unless nearly all are cut off.
const detourAsked = 16

// cutOffHolds is how long a host counts as cut off after most of the others did not
// answer it. It is above the time between two failed probes.
const cutOffHolds = time.Second

// cutOff reports whether neither this host's path to the primary works nor most of the
// other hosts answer it, so that it can neither use nor replace the primary nor go
// through another host. Load: a partition with callers on its smaller side. Work that
// needs the primary is refused at once, so that its caller has the time to go to
// another host; after an ordinary loss of the primary it waits for the next one, as
// other hosts could not serve it either. The mutex must be held.
func (g *group) cutOff(now time.Time) bool { return now.Before(g.cutOffUntil) }

// seekDetour asks other hosts whether they reach the endpoint, and goes through
// those that do. It returns false if none does. It runs on a goroutine of its own.
func (c *control) seekDetour(ctx context.Context, t *target) bool {
	g := t.group
	g.mu.Lock()
	e, held, few := t.Endpoint, !t.relayed, c.fewHold(t)
	g.mu.Unlock()
	if !held {
		// The holders look for another way.
		return false
	}
	var addresses map[string]string
	c.ask(func() { addresses = c.detourHosts(e, few) })
	poll := c.askHosts(ctx, addresses, FenceRequest{Group: g.name, Ask: true}, evidenceTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !poll.quorum() {
		c.gw.events.log.Info().Str("group", g.name).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("host is cut off")
		g.cutOffUntil = boottime.Now().Add(cutOffHolds)
		g.notify()
	}
	if g.primary != t.ID || t.relayed || t.gone {
		return false
	}
	var via []string
	for name, r := range poll.replies {
		if r.Term == g.term && r.Direct && r.recent(succession.UnreachableTimeout) {
			via = append(via, addresses[name])
		}
	}
	if len(via) > 0 && !t.detour.Active() {
		c.gw.events.log.Info().Str("group", g.name).Str("endpoint", t.ID).Int("asked", poll.asked).
			Int("via", len(via)).Msg("endpoint reached through other hosts")
		t.closeIdle()
		t.succeededDial()
	}
	t.detour.SetRelays(boottime.Now(), via)
	g.notify()
	return len(via) > 0
}

// detourHosts returns the addresses of hosts to ask whether they reach the endpoint:
// the other holders of its connections if only few hosts hold some, then any hosts.
func (c *control) detourHosts(e Endpoint, few bool) map[string]string {
	addresses := make(map[string]string)
	if few {
		ranked := c.rankHolders(c.liveHosts(boottime.Now()), e)
		for _, h := range ranked[:min(fewHolders, len(ranked))] {
			if m := c.members[h.Name]; m != nil {
				addresses[h.Name] = m.Address
			}
		}
	}
	for name, m := range c.members {
		if len(addresses) < detourAsked {
			addresses[name] = m.Address
		}
	}
	return addresses
}

// endDetour returns to the direct way. The group's mutex must be held.
func (t *target) endDetour() {
	if t.detour.Clear() {
		t.closeIdle()
		t.group.notify()
	}
}

// tryDirect tries the direct way to an endpoint on a detour, if that is due. The
// group's mutex must be held.
func (c *control) tryDirect(now time.Time, t *target) {
	if !t.detour.TryDirect(now) {
		return
	}
	e := t.Endpoint
	go func() {
		ctx, cancel := context.WithTimeout(c.gw.ctx, dialTimeout)
		defer cancel()
		conn, err := c.gw.cfg.Dialer.Dial(ctx, e)
		if err != nil {
			// Still cut off. Other hosts may have joined those that reach it.
			c.seekDetour(c.gw.ctx, t)
			return
		}
		if err := conn.Close(); err != nil {
			c.gw.events.log.Debug().Str("endpoint", e.ID).Err(err).Msg("connection did not close")
		}
		c.gw.events.log.Info().Str("group", e.Group).Str("endpoint", e.ID).Msg("endpoint reached directly again")
		t.group.mu.Lock()
		defer t.group.mu.Unlock()
		t.endDetour()
	}()
}
