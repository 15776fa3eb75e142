package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// readTimeout bounds a read of the claims.
const readTimeout = 800 * time.Millisecond

// readClaims reads hosts and claims from the store if what is known of them is too
// old. Whole listings are read, since a feed may miss changes when the store drops
// its history.
func (c *control) readClaims(now time.Time) {
	if c.reading || !c.claimsDue(now) || c.awaitsRegistration(now) {
		return
	}
	c.reading = true
	go func() {
		ctx, cancel := context.WithTimeout(c.gw.ctx, readTimeout)
		defer cancel()
		c.gw.metrics.Inc(metrics.StoreReads)
		listing, version, err := c.gw.cfg.Store.List(ctx, TableState)
		if err != nil {
			c.gw.events.log.Warn().Err(err).Msg("claims were not read")
			wait.Sleep(c.gw.ctx, firstPause)
		}
		c.do(func() {
			c.reading = false
			if err != nil {
				return
			}
			c.listing(TableState, listing, version)
			c.complete(TableState, now)
		})
	}()
}

// claimsDue reports whether this host should read the claims: the first reader when
// its own mirror is old, the others when their permission to use primaries is. Answers
// of a majority of the hosts renew a permission without the store.
func (c *control) claimsDue(now time.Time) bool {
	rank := func() int { return c.rankAmong(now, readersGroup) }
	switch {
	case c.listedAt > c.tables[TableState].Through():
		return true
	case claimsPatience.due(now.Sub(c.permitted.Add(-permission.Duration)), rank):
		return true
	}
	return now.Sub(c.asOf[TableState]) >= claimsPatience.first && rank() < claimsPatience.readers
}

// registrationHead is how long a host that has just started leaves the first read of
// the claims to its registration, which lists the same table.
const registrationHead = 300 * time.Millisecond

// awaitsRegistration reports whether the registration has yet to list the hosts.
func (c *control) awaitsRegistration(now time.Time) bool {
	return c.registering && c.asOf[TableState].IsZero() && now.Sub(c.began) < registrationHead
}

// listedSince notes that a row with this host's address is in the store since the
// version, unless it was already: a row that replaces another leaves no gap.
func (c *control) listedSince(version uint64) {
	if c.listedAt == 0 {
		c.listedAt = version
	}
}

// listed reports whether every host that replaces a primary asks this one first: its
// row is in the store, and this host knows all claims that are older than its row.
// The holder of a younger claim lists the hosts after it has written the claim.
func (c *control) listed() bool {
	return c.listedAt > 0 && c.tables[TableState].Through() >= c.listedAt
}

// complete records that the mirror of the table was complete at the time.
func (c *control) complete(name TableName, asOf time.Time) {
	if !asOf.After(c.asOf[name]) {
		return
	}
	c.asOf[name] = asOf
	if name == TableState {
		c.permit()
	}
}

// permit updates the permission to use primaries.
func (c *control) permit() {
	answered := make([]time.Time, 0, len(c.members))
	for _, m := range c.members {
		answered = append(answered, m.answered)
	}
	until := permission.Until(c.asOf[TableState], answered)
	if !c.listed() {
		until = time.Time{}
	}
	c.permitted = until
	before := c.gw.permittedUntil.Swap(until.UnixNano())
	now := boottime.Now()
	held, holds := before > now.UnixNano(), until.After(now)
	if held != holds {
		if held {
			c.gw.metrics.Inc(metrics.PermissionLost)
		}
		c.gw.events.log.Info().Bool("permitted", holds).Bool("listed", c.listed()).Dur("claims_age_ms", now.Sub(c.asOf[TableState])).Msg("permission to use primaries changed")
	}
	if holds && !held {
		c.notifyAll()
	}
}

// notifyAll wakes the sessions that wait in any group.
func (c *control) notifyAll() {
	for _, g := range *c.gw.groupsNow.Load() {
		g.mu.Lock()
		g.notify()
		g.mu.Unlock()
	}
}
