package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

const (
	// silentMemberTimeout is the silence after which a host's row is removed. A host
	// that was only cut off writes its row again. Until the row is removed, each
	// failover waits for the host's permission to end.
	silentMemberTimeout = 4 * time.Second
	// cleanupInterval is how often the host ranked first looks for such rows.
	cleanupInterval = 2 * time.Second
	// cleanupPollTimeout limits the poll of the other hosts before a row is removed.
	// Nothing waits for the poll, so the timeout allows for slow hosts.
	cleanupPollTimeout = time.Second
)

// removeSilentMembers removes the rows of hosts that have been silent for
// silentMemberTimeout. Only the live host that ranks first does so. Since the rows
// define what a majority is, a majority of the hosts must answer directly before the
// removal: the minority side of a network partition must not remove the majority.
func (c *controller) removeSilentMembers(now time.Time) {
	if now.Sub(c.lastCleanup) < cleanupInterval {
		return
	}
	c.lastCleanup = now
	silent := c.silentMembers(now)
	if len(silent) == 0 || c.rankInGroup(now, storeReadersGroup) != 0 {
		return
	}
	var request FenceRequest
	for group := range *c.gw.currentGroups.Load() {
		request = FenceRequest{Group: group, QueryOnly: true}
	}
	addresses := c.primaryUsers(now)
	go func() {
		poll := c.pollHosts(c.gw.ctx, addresses, request, cleanupPollTimeout)
		if !poll.majority() {
			c.gw.events.log.Info().Int("silent", len(silent)).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("rows of unresponsive hosts kept: no majority of the hosts answered")
			return
		}
		for name, r := range silent {
			if _, answered := poll.replies[name]; answered {
				continue
			}
			c.gw.events.log.Info().Str("member", name).Int("asked", poll.asked).Int("answered", len(poll.replies)).Msg("removing the row of an unresponsive host")
			c.deleteStateRow(r.Key, r.Version, writeTimeout)
		}
	}()
}

// silentMembers returns the rows of hosts that neither answer nor call. In fleets too
// large for every host to hear from every other, reports of other hosts count as well.
func (c *controller) silentMembers(now time.Time) map[string]rows.Row {
	out := make(map[string]rows.Row)
	for name, m := range c.members {
		silent := now.Sub(m.knownSince) > silentMemberTimeout && now.Sub(m.lastContact) > silentMemberTimeout && now.Sub(m.answeredAt) > silentMemberTimeout
		if r, ok := c.tables[TableState].Get(hostPrefix + name); ok && silent && (!m.alive(now) || now.Sub(m.lastFailureAt()) <= reportLifetime) {
			out[name] = r
		}
	}
	return out
}
