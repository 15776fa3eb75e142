package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// readTimeout limits one read of the claims.
const readTimeout = 800 * time.Millisecond

// readClaims reads hosts and claims from the store if what this host knows is too old.
// It lists the whole table, because a change feed may miss changes when the store drops
// its history.
func (c *controller) readClaims(now time.Time) {
	if c.readingClaims || !c.claimsReadDue(now) || c.awaitsRegistration(now) {
		return
	}
	c.readingClaims = true
	c.spawn("read claims", func() {
		ctx, cancel := context.WithTimeout(c.gw.ctx, readTimeout)
		defer cancel()
		c.gw.metrics.Inc(metrics.StoreReads)
		listing, err := c.gw.cfg.Store.List(ctx, TableState)
		if err != nil {
			c.gw.events.log.Warn().Err(err).Msg("claims were not read")
			wait.Sleep(c.gw.ctx, storeRetryMin)
		}
		c.submit(func() {
			c.readingClaims = false
			if err != nil {
				return
			}
			c.applyListing(TableState, listing)
			c.markComplete(TableState, now)
		})
	})
}

// claimsReadDue reports whether this host should read the claims. The first reader does
// so when its mirror is old; the other hosts only when their permission to use
// primaries is, since answers of a majority of the hosts renew the permission without
// the store. Every host does so while its mirror does not reach the version of its own
// row, or of the electorate that this host has written.
func (c *controller) claimsReadDue(now time.Time) bool {
	rank := func() int { return c.rankInGroup(now, storeReadersGroup) }
	switch {
	case max(c.listedSinceVersion, c.electorate.writtenVersion) > c.tables[TableState].Through():
		return true
	case c.electorate.Sets() != nil && claimsThresholds.due(now.Sub(c.permittedUntil.Add(-permission.Duration)), rank):
		return true
	}
	if c.electorate.Sets() == nil {
		// No host has a permission before there is an electorate, and reads do not give one.
		return claimsThresholds.due(now.Sub(c.completeAsOf[TableState]), rank)
	}
	return now.Sub(c.completeAsOf[TableState]) >= claimsThresholds.readerAge && rank() < claimsThresholds.readers
}

// registrationHeadStart is how long a host that has just started delays its first read
// of the claims in favor of its registration, which lists the same table.
const registrationHeadStart = 300 * time.Millisecond

// awaitsRegistration reports whether the registration is still about to list the hosts.
func (c *controller) awaitsRegistration(now time.Time) bool {
	return c.registering && c.completeAsOf[TableState].IsZero() && now.Sub(c.startedAt) < registrationHeadStart
}

// recordListing records that a row with this host's address is in the store since the
// given version. An earlier version is kept: if a row replaces another one, the host
// was listed all the time.
func (c *controller) recordListing(version uint64) {
	if c.listedSinceVersion == 0 {
		c.listedSinceVersion = version
	}
}

// isListed reports whether every host that runs a failover contacts this one: its row
// is in the store, and this host knows all claims that are older than its row. The
// holder of a newer claim lists the hosts after it has written the claim.
func (c *controller) isListed() bool {
	return c.listedSinceVersion > 0 && c.tables[TableState].Through() >= c.listedSinceVersion
}

// markComplete records that the mirror of the table was complete at the given time.
func (c *controller) markComplete(name TableName, asOf time.Time) {
	if !asOf.After(c.completeAsOf[name]) {
		return
	}
	before := c.completeAsOf[name]
	c.completeAsOf[name] = asOf
	switch name {
	case TableState:
		if asOf.Sub(before) > permission.Duration {
			// The row of a host may have been written and removed in between.
			c.removals.missed = c.tables[TableState].Through()
		}
		c.updatePermission()
	case TableCatalog:
		c.gw.catalogAsOf.Store(asOf.UnixNano())
	}
}

// knownClaimsAsOf returns the time as of which this host knows every claim, from the store
// or from the evidence of another host.
func (c *controller) knownClaimsAsOf() time.Time {
	if asOf := c.claimsAsOf(); asOf.After(c.relayedEvidence) {
		return asOf
	}
	return c.relayedEvidence
}

// claimsAsOfSinceStart returns knownClaimsAsOf without what does not count since this host started.
// The process before may have acknowledged a claim, so that the holder does not wait for this host.
// The claim was in the store by then, but other hosts may acknowledge it until the poll ends.
func (c *controller) claimsAsOfSinceStart() time.Time {
	var asOf time.Time
	if stored := c.claimsAsOf(); !stored.Before(c.startedAt) {
		asOf = stored
	}
	if c.countsSinceStart(c.relayedEvidence) && c.relayedEvidence.After(asOf) {
		asOf = c.relayedEvidence
	}
	return asOf
}

// countsSinceStart reports whether answers of other hosts to calls that began at the given time
// cover the claims that the process of this host before may have acknowledged.
func (c *controller) countsSinceStart(began time.Time) bool {
	return !began.Before(c.startedAt.Add(longestFencePoll))
}

// updatePermission recomputes until when this host may use primaries.
func (c *controller) updatePermission() {
	until := permission.Until(c.claimsAsOfSinceStart(), c.storeKnownAsOf(), c.voterAnswers()...)
	// Without an electorate the hosts could not go on if the store failed now. Nobody waits
	// for a host that removes its row.
	if !c.isListed() || c.electorate.Sets() == nil || c.unregistering {
		until = time.Time{}
	}
	if !c.permittedUntil.IsZero() && until.Add(-permission.Duration).After(c.permittedUntil) {
		// The permission ended before this renewal was asked for, without a timer or a tick in between.
		c.closeUnansweredPrimaryWork()
	}
	c.permittedUntil = until
	c.gw.permittedUntil.Store(until.UnixNano())
	now := boottime.Now()
	if left := until.Sub(now); left > 0 {
		c.permissionTimer.Reset(left)
	}
	wasPermitted, isPermitted := c.permitted, until.After(now)
	c.permitted = isPermitted
	if wasPermitted != isPermitted {
		if wasPermitted {
			c.gw.metrics.Inc(metrics.PrimaryPermissionLost)
			// The timer does not count the time in which the host was suspended.
			c.closeUnansweredPrimaryWork()
		}
		c.gw.events.log.Info().Bool("permitted", isPermitted).Bool("listed", c.isListed()).Dur("claims_age_ms", now.Sub(c.completeAsOf[TableState])).
			Dur("relayed_age_ms", now.Sub(c.relayedEvidence)).Dur("left_ms", until.Sub(now)).Uint64("electorate", c.electorate.version).Msg("permission to use primaries changed")
	}
	if isPermitted && !wasPermitted {
		c.notifyAllGroups()
	}
}

// permissionEnded is called by the timer. It closes the connections on which statements for
// primaries wait for their answer, unless the permission has been renewed.
func (c *controller) permissionEnded() {
	if left := c.gw.primaryPermittedUntil().Sub(boottime.Now()); left > 0 {
		c.permissionTimer.Reset(left)
		return
	}
	c.closeUnansweredPrimaryWork()
}

// closeUnansweredPrimaryWork closes the unanswered work on the primaries of all groups. It may be
// called from any goroutine.
func (c *controller) closeUnansweredPrimaryWork() {
	for _, g := range *c.gw.currentGroups.Load() {
		g.closeUnansweredPrimaryWork()
	}
}

// notifyAllGroups wakes the waiting sessions of all groups.
func (c *controller) notifyAllGroups() {
	for _, g := range *c.gw.currentGroups.Load() {
		g.mu.Lock()
		g.notify()
		g.mu.Unlock()
	}
}
