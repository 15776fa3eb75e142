package gateway

import (
	"maps"
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
// unresponsiveMemberTimeout and are no voters any more. Only the live host that ranks first
// does so. The row of a voter stays until a change of the electorate without it is completed:
// a voter without a row counts as one that has ended by itself, but an unresponsive host may
// still answer others. A quorum must answer directly before the removal, so that the minority
// side of a network partition does not remove the majority.
func (c *controller) removeUnresponsiveMembers(now time.Time) {
	if now.Sub(c.lastCleanup) < cleanupInterval {
		return
	}
	c.lastCleanup = now
	unresponsive := c.unresponsiveMemberRows(now)
	present, version, left := c.electorate.Electorate, c.electorate.version, c.leftVoters()
	maps.DeleteFunc(unresponsive, func(name string, _ rows.Row) bool { return present.Includes(c.members[name].Address) })
	if len(unresponsive) == 0 || c.rankInGroup(now, storeReadersGroup) != 0 {
		return
	}
	request, ok := c.pollRequest()
	if !ok {
		return
	}
	own, addresses := c.ownAddress(), c.withVoters(c.primaryUsers(now), present)
	c.spawn("remove rows", func() {
		poll := c.pollHosts(c.gw.ctx, own, addresses, request, cleanupPollTimeout)
		if !poll.quorum(present, left) {
			c.gw.events.log.Info().Int("silent", len(unresponsive)).Int("asked", len(poll.asked)).Int("answered", len(poll.replies)).Msg("rows of unresponsive hosts kept: no quorum of the hosts answered")
			return
		}
		for name, r := range unresponsive {
			if _, answered := poll.replies[addresses[name]]; answered {
				continue
			}
			c.gw.events.log.Info().Str("member", name).Int("asked", len(poll.asked)).Int("answered", len(poll.replies)).Msg("removing the row of an unresponsive host")
			c.deleteStateRow(r.Key, r.Version, writeTimeout, RowVersion{Key: electorateKey, Version: version})
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
