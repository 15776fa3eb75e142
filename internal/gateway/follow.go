package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

const (
	// feedWait is how long the store holds a call for changes. A connection that
	// went silent is noticed after this time; peers pass changes on meanwhile.
	feedWait = 5 * time.Second
	// feedSlack is the time beyond feedWait after which the call is given up.
	feedSlack = time.Second
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
		var err error
		if list {
			err = c.list(ctx, name)
		} else {
			err = c.changes(ctx, name)
		}
		switch {
		case err == nil:
			list, pause = false, firstPause
			continue
		case errors.Is(err, ErrHistoryGone):
			list = true
			continue
		}
		c.gw.events.log.Warn().Str("table", string(name)).Err(err).Msg("store did not answer")
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, lastPause)
	}
}

// list reads the whole table.
func (c *control) list(ctx context.Context, name TableName) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, version, err := c.gw.cfg.Store.List(ctx, name)
	if err != nil {
		return err
	}
	c.ask(func() {
		changed := c.tables[name].Replace(listing, version)
		c.listed = c.listed || name == TableEndpoints
		c.changed(name, changed)
	})
	return nil
}

// changes waits for changes of the table.
func (c *control) changes(ctx context.Context, name TableName) error {
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	var from uint64
	c.ask(func() { from = c.tables[name].Through() })
	changes, through, err := c.gw.cfg.Store.Changes(ctx, name, from, feedWait)
	if err != nil {
		return err
	}
	c.ask(func() { c.merge(TableNews{Table: name, From: from, Through: through, Rows: changes}) })
	return nil
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
