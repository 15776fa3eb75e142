package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

const (
	// unresponsiveMemberTimeout is how long a host must neither answer nor call before
	// its row is removed. A host that was only cut off writes its row again. Until the
	// row is removed, each failover waits for the host's permission to end.
	unresponsiveMemberTimeout = 4 * time.Second
	// cleanupInterval is how often the host ranked first looks for such rows.
	cleanupInterval = 2 * time.Second
	// cleanupPollTimeout limits the poll of the other hosts before a row is removed.
	// Nothing waits for the poll, so the timeout allows for slow hosts.
	cleanupPollTimeout = time.Second
)

// removeUnresponsiveMembers removes the rows of hosts that have been unresponsive for
// unresponsiveMemberTimeout. Only the live host that ranks first does so. Since the
// rows define what a majority is, a majority of the hosts must answer directly before
// the removal: the minority side of a network partition must not remove the majority.
func (c *controller) removeUnresponsiveMembers(now time.Time) {
	if now.Sub(c.lastCleanup) < cleanupInterval {
		return
	}
	c.lastCleanup = now
	unresponsive := c.unresponsiveMemberRows(now)
	if len(unresponsive) == 0 || c.rankInGroup(now, storeReadersGroup) != 0 {
		return
	}
	var request FenceRequest
	for group := range *c.gw.currentGroups.Load() {
		request = FenceRequest{Group: group, QueryOnly: true}
	}
	addresses := c.primaryUsers(now)
	c.spawn("remove rows", func() {
		poll := c.pollHosts(c.gw.ctx, addresses, request, cleanupPollTimeout)
		if !poll.majority() {
			c.gw.events.log.Info().Int("silent", len(unresponsive)).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("rows of unresponsive hosts kept: no majority of the hosts answered")
			return
		}
		for name, r := range unresponsive {
			if _, answered := poll.replies[name]; answered {
				continue
			}
			c.gw.events.log.Info().Str("member", name).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("removing the row of an unresponsive host")
			c.deleteStateRow(r.Key, r.Version, writeTimeout)
		}
	})
}

// unresponsiveMemberRows returns the rows of hosts that neither answer nor call. In
// fleets too large for every host to hear from every other, reports of other hosts
// count as well.
func (c *controller) unresponsiveMemberRows(now time.Time) map[string]rows.Row {
	out := make(map[string]rows.Row)
	for name, m := range c.members {
		unresponsive := now.Sub(m.knownSince) > unresponsiveMemberTimeout && now.Sub(m.lastContact) > unresponsiveMemberTimeout && now.Sub(m.answeredAt) > unresponsiveMemberTimeout
		if r, ok := c.tables[TableState].Get(hostPrefix + name); ok && unresponsive && (!m.alive(now) || now.Sub(m.lastFailureAt()) <= reportLifetime) {
			out[name] = r
		}
	}
	return out
}
