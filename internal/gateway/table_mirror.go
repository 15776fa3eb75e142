package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// feedWait is how long the store holds a request for changes. Its answer proves
	// that the mirror is complete, and must reach the other hosts before feedThresholds
	// makes them read.
	feedWait = 1200 * time.Millisecond
	// feedResponseMargin is the time beyond feedWait after which a request for changes
	// is aborted, since its connection may be dead.
	feedResponseMargin = 700 * time.Millisecond
	// feedMinInterval is the minimum time between two requests for changes of a table.
	// It adds to the age of the data that other hosts get, which must stay below
	// feedThresholds. Without it, a request would be answered at once almost always,
	// since endpoints rewrite their rows with every heartbeat: 24 endpoints cause 20
	// calls a second.
	feedMinInterval = 600 * time.Millisecond
	// feedRecheckInterval is how often a host that does not read the table checks
	// whether it should.
	feedRecheckInterval = 100 * time.Millisecond
	// listTimeout limits one listing of a table.
	listTimeout = 2 * time.Second
	// storeRetryMin and storeRetryMax limit the exponential backoff after a failed call
	// to the store.
	storeRetryMin = 100 * time.Millisecond
	storeRetryMax = 1000 * time.Millisecond
)

// mirrorTable keeps the mirror of one table up to date until ctx ends. It must not run
// on the controller goroutine.
func (c *controller) mirrorTable(ctx context.Context, name TableName) {
	pause := storeRetryMin
	list := true
	for ctx.Err() == nil {
		if !c.shouldRead(name) {
			wait.Sleep(ctx, feedRecheckInterval)
			continue
		}
		c.gw.metrics.Inc(metrics.StoreReads)
		began := boottime.Now()
		var err error
		if list || c.listsOnly(name) {
			_, err = c.fetchListing(ctx, name)
		} else {
			err = c.fetchChanges(ctx, name)
		}
		switch {
		case err == nil:
			list, pause = false, storeRetryMin
			wait.Sleep(ctx, feedMinInterval-boottime.Now().Sub(began))
			continue
		case errors.Is(err, ErrHistoryGone):
			list = true
			continue
		}
		c.gw.events.log.Warn().Str("table", string(name)).Err(err).Msg("store did not answer")
		wait.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, storeRetryMax)
	}
}

// shouldRead reports whether this host should read the table now.
func (c *controller) shouldRead(name TableName) bool {
	due := false
	c.submitAndWait(func() {
		now := boottime.Now()
		due = c.thresholdsOf(name).due(now.Sub(c.completeAsOf[name]), func() int { return c.rankInGroup(now, storeReadersGroup) })
	})
	return due
}

// listsOnly reports whether the table is only listed, without requests for changes. An answer
// to such a request does not prove that the mirror is complete while the store drops its
// history, and a withdrawn key must stop working within a bound.
func (c *controller) listsOnly(name TableName) bool {
	return name == TableCatalog && c.gw.cfg.RevocationBound > 0
}

// thresholdsOf returns the ages at which the hosts read the table.
func (c *controller) thresholdsOf(name TableName) readThresholds {
	if c.listsOnly(name) {
		return listingThresholds(min(c.gw.cfg.RevocationBound, c.gw.cfg.ConfigurationBound))
	}
	return feedThresholds
}

// fetchListing reads the whole table into its mirror and returns the rows.
func (c *controller) fetchListing(ctx context.Context, name TableName) ([]rows.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := boottime.Now()
	listing, err := c.gw.cfg.Store.List(ctx, name)
	if err != nil {
		return nil, err
	}
	c.submitAndWait(func() {
		c.endpointsLoaded = c.endpointsLoaded || name == TableEndpoints
		c.applyListing(name, listing)
		c.markComplete(name, began)
	})
	return listing.Rows, nil
}

// fetchChanges waits for changes of the table and applies them.
func (c *controller) fetchChanges(ctx context.Context, name TableName) error {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedResponseMargin)
	defer cancel()
	var from uint64
	var began time.Time
	c.submitAndWait(func() { from, began = c.tables[name].Through(), boottime.Now() })
	changes, through, err := c.gw.cfg.Store.Changes(ctx, name, from, feedWait)
	if err != nil {
		return err
	}
	if len(changes) == 0 && boottime.Now().Sub(began) >= feedWait {
		// The store waited for feedWait without finding a change, so the mirror was
		// still complete at that time.
		began = began.Add(feedWait)
	}
	c.submitAndWait(func() {
		c.applyChanges(TableChanges{Table: name, From: from, Through: through, Rows: changes})
		c.markComplete(name, began)
	})
	return nil
}

// applyListing applies a complete listing of the table to its mirror.
func (c *controller) applyListing(name TableName, listing Listing) {
	changed := c.tables[name].Replace(listing.Rows, listing.Version)
	c.recordEra()
	c.rowsChanged(name, changed)
	if name == TableState {
		c.checkElectorateAge(listing)
	}
}

// applyChanges applies changes from the store or from another host.
func (c *controller) applyChanges(changes TableChanges) {
	table, ok := c.tables[changes.Table]
	if !ok {
		return
	}
	changed := table.Apply(changes.Rows, changes.From, changes.Through)
	c.recordEra()
	c.rowsChanged(changes.Table, changed)
}

// rowsChanged handles rows that are new to this host.
func (c *controller) rowsChanged(name TableName, changed []rows.Row) {
	if len(changed) == 0 {
		return
	}
	switch name {
	case TableCatalog:
		c.applyCatalog(changed)
	case TableEndpoints:
		c.updateGroups()
	case TableState:
		c.applyStateRows(changed)
	}
}
