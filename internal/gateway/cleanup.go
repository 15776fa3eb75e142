package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

const (
	// memberGoneAfter is the silence after which a host's row is removed. A host that
	// was only cut off writes it again. Until then each failover waits for the host's
	// permission to end.
	memberGoneAfter = 4 * time.Second
	// cleanupInterval is how often the first host looks for such rows.
	cleanupInterval = 2 * time.Second
	// cleanupPollTimeout bounds the question to the other hosts before a row is removed.
	// Nothing waits for it, so that it also allows for hosts that are slow to answer.
	cleanupPollTimeout = time.Second
)

// cleanup removes the rows of hosts that have been silent for long. The first live
// host does it. The rows decide what a majority is, so a majority must answer right
// before: the minority side of a split must not remove the others.
func (c *control) cleanup(now time.Time) {
	if now.Sub(c.lastCleanup) < cleanupInterval {
		return
	}
	c.lastCleanup = now
	gone := c.gone(now)
	if len(gone) == 0 || c.rankAmong(now, readersGroup) != 0 {
		return
	}
	var request FenceRequest
	for group := range *c.gw.groupsNow.Load() {
		request = FenceRequest{Group: group, Ask: true}
	}
	addresses := c.mayUsePrimaries(now)
	go func() {
		poll := c.askHosts(c.gw.ctx, addresses, request, cleanupPollTimeout)
		if !poll.majority() {
			c.gw.events.log.Info().Int("silent", len(gone)).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("rows of silent hosts stay without a majority")
			return
		}
		for name, r := range gone {
			if _, answered := poll.replies[name]; answered {
				continue
			}
			c.gw.events.log.Info().Str("member", name).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("removing the row of a silent host")
			c.remove(r.Key, r.Version, writeTimeout)
		}
	}()
}

// gone returns the rows of the hosts that neither answer nor call, here or, in fleets
// too large to hear from every host, at others.
func (c *control) gone(now time.Time) map[string]rows.Row {
	out := make(map[string]rows.Row)
	for name, m := range c.members {
		silent := now.Sub(m.known) > memberGoneAfter && now.Sub(m.heard) > memberGoneAfter && now.Sub(m.answered) > memberGoneAfter
		if r, ok := c.tables[TableState].Get(hostPrefix + name); ok && silent && (!m.live(now) || now.Sub(m.unansweredAt()) <= reportHolds) {
			out[name] = r
		}
	}
	return out
}
