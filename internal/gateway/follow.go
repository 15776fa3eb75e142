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
	// feedWait is how long the store holds a call for changes. An answer shows that
	// the mirror is complete; it must reach the other hosts within their patience.
	feedWait = 1200 * time.Millisecond
	// feedSlack is the time beyond feedWait after which the call is given up, as its
	// connection may have gone silent.
	feedSlack = 700 * time.Millisecond
	// feedSpacing is the least time between two calls for changes of a table. It is
	// added to the age of what the other hosts hear, which stays below feedPatience.
	//
	// Load: endpoints rewrite their entries with every heartbeat, so that a call for
	// changes is answered at once, 20 times a second before 24 endpoints.
	feedSpacing = 600 * time.Millisecond
	// feedPoll is how often a host that does not read looks whether it should.
	feedPoll = 100 * time.Millisecond
	// listTimeout bounds a listing.
	listTimeout = 2 * time.Second
	// firstPause and lastPause bound the pause after a failed call to the store.
	firstPause = 100 * time.Millisecond
	lastPause  = 1000 * time.Millisecond
)

// follow mirrors one table of the store. It runs on a goroutine of its own.
func (c *control) follow(ctx context.Context, name TableName) {
	pause := firstPause
	list := true
	for ctx.Err() == nil {
		if !c.shouldRead(name) {
			wait.Sleep(ctx, feedPoll)
			continue
		}
		c.gw.metrics.Inc(metrics.StoreReads)
		began := boottime.Now()
		var err error
		if list {
			_, err = c.list(ctx, name)
		} else {
			err = c.changes(ctx, name)
		}
		switch {
		case err == nil:
			list, pause = false, firstPause
			wait.Sleep(ctx, feedSpacing-boottime.Now().Sub(began))
			continue
		case errors.Is(err, ErrHistoryGone):
			list = true
			continue
		}
		c.gw.events.log.Warn().Str("table", string(name)).Err(err).Msg("store did not answer")
		wait.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastPause)
	}
}

// shouldRead reports whether this host should read the table now.
func (c *control) shouldRead(name TableName) bool {
	read := false
	c.ask(func() {
		now := boottime.Now()
		read = feedPatience.due(now.Sub(c.asOf[name]), func() int { return c.rankAmong(now, readersGroup) })
	})
	return read
}

// list reads the whole table into its mirror and returns its rows.
func (c *control) list(ctx context.Context, name TableName) ([]rows.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	began := boottime.Now()
	listing, version, err := c.gw.cfg.Store.List(ctx, name)
	if err != nil {
		return nil, err
	}
	c.ask(func() {
		c.endpointsListed = c.endpointsListed || name == TableEndpoints
		c.listing(name, listing, version)
		c.complete(name, began)
	})
	return listing, nil
}

// changes waits for changes of the table.
func (c *control) changes(ctx context.Context, name TableName) error {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	var from uint64
	var began time.Time
	c.ask(func() { from, began = c.tables[name].Through(), boottime.Now() })
	changes, through, err := c.gw.cfg.Store.Changes(ctx, name, from, feedWait)
	if err != nil {
		return err
	}
	if len(changes) == 0 && boottime.Now().Sub(began) >= feedWait {
		// The store has waited in vain, so nothing had changed by then.
		began = began.Add(feedWait)
	}
	c.ask(func() {
		c.merge(TableNews{Table: name, From: from, Through: through, Rows: changes})
		c.complete(name, began)
	})
	return nil
}

// listing takes a whole listing of the table.
func (c *control) listing(name TableName, listing []rows.Row, version uint64) {
	c.changed(name, c.tables[name].Replace(listing, version))
}

// merge takes changes from the store or from another host.
func (c *control) merge(n TableNews) {
	table, ok := c.tables[n.Table]
	if !ok {
		return
	}
	c.changed(n.Table, table.Apply(n.Rows, n.From, n.Through))
}

// changed acts on rows that are new to this host.
func (c *control) changed(name TableName, changed []rows.Row) {
	if len(changed) == 0 {
		return
	}
	switch name {
	case TableCatalog:
		c.catalogChanged(changed)
	case TableEndpoints:
		c.endpointsChanged()
	case TableState:
		c.stateChanged(changed)
	}
}
