package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/permission"
)

const (
	// memberGoneAfter is the silence after which a host's row is removed. A host that
	// was only cut off writes it again. Until then each failover waits for the host's
	// permission to end.
	memberGoneAfter = 4 * time.Second
	// cleanupInterval is how often the first host looks for such rows.
	cleanupInterval = 2 * time.Second
)

// cleanup removes the rows of hosts that have been silent for long. The first live
// host does it. The rows decide what a majority is, so the minority side of a split
// must not remove the others.
func (c *control) cleanup(now time.Time) {
	if now.Sub(c.lastCleanup) < cleanupInterval || !c.majorityAnswers(now) {
		return
	}
	c.lastCleanup = now
	if c.rankAmong(now, readersGroup) != 0 {
		return
	}
	for name, m := range c.members {
		silent := now.Sub(m.known) > memberGoneAfter && now.Sub(m.heard) > memberGoneAfter && now.Sub(m.answered) > memberGoneAfter
		r, ok := c.tables[TableState].Get(hostPrefix + name)
		if !silent || !ok {
			continue
		}
		c.gw.events.log.Info().Str("member", name).Dur("silent_ms", now.Sub(m.heard)).Msg("removing the row of a silent host")
		go c.remove(r.Key, r.Version, writeTimeout)
	}
}

// majorityAnswers reports whether a majority of the hosts has answered this one
// within the time of a permission.
func (c *control) majorityAnswers(now time.Time) bool {
	answers := 1
	for _, m := range c.members {
		if now.Sub(m.heard) < permission.Duration {
			answers++
		}
	}
	return answers >= lease.Majority(len(c.members)+1)
}
