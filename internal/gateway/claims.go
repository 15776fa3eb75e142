package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

const (
	// readPatience0 is the age of the known claims at which the first host reads them
	// from the store. The others hear them from it, and read them themselves when
	// they are older by readPatienceStep for each host that goes before.
	readPatience0    = 400 * time.Millisecond
	readPatienceStep = 150 * time.Millisecond
	// readPatienceMax leaves time for a read and its answer before the permission to
	// use primaries ends.
	readPatienceMax = 1000 * time.Millisecond
	// readTimeout bounds a read of the claims.
	readTimeout = 800 * time.Millisecond
	// readersGroup is the name by which hosts are ranked as readers.
	readersGroup = "store-readers"
)

// readClaims reads hosts and claims from the store if what is known of them is too
// old. Whole listings are read, since a feed may miss changes when the store drops
// its history.
func (c *control) readClaims(now time.Time) {
	if c.reading || now.Sub(c.claims) < c.claimsPatience(now) {
		return
	}
	c.reading = true
	go func() {
		ctx, cancel := context.WithTimeout(c.gw.ctx, readTimeout)
		defer cancel()
		listing, version, err := c.gw.cfg.Store.List(ctx, TableState)
		if err != nil {
			c.gw.events.log.Warn().Err(err).Msg("claims were not read")
			sleep(c.gw.ctx, firstPause)
		}
		c.do(func() {
			c.reading = false
			if err != nil {
				return
			}
			c.changed(TableState, c.tables[TableState].Replace(listing, version))
			c.claimsKnown(now)
		})
	}()
}

// claimsPatience returns the age of the known claims at which this host reads
// them.
func (c *control) claimsPatience(now time.Time) time.Duration {
	rank := c.rankAmong(now, readersGroup)
	return min(readPatience0+time.Duration(rank)*readPatienceStep, readPatienceMax)
}

// claimsKnown records that every claim as of the time is known.
func (c *control) claimsKnown(asOf time.Time) {
	if asOf.After(c.claims) {
		c.claims = asOf
		c.permit()
	}
}

// permit updates the permission to use primaries.
func (c *control) permit() {
	answered := make([]time.Time, 0, len(c.members))
	for _, m := range c.members {
		answered = append(answered, m.answered)
	}
	until := permission.Until(c.claims, answered)
	before := c.gw.permittedUntil.Swap(until.UnixNano())
	now := boottime.Now()
	held, holds := before > now.UnixNano(), until.After(now)
	if held != holds {
		c.gw.events.log.Info().Bool("permitted", holds).Dur("claims_age_ms", now.Sub(c.claims)).Msg("permission to use primaries changed")
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
