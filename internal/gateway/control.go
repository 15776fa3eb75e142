package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

const (
	// sweepInterval is how often endpoints that are no longer listed are removed.
	sweepInterval = 500 * time.Millisecond
	// tickInterval is how often conditions that depend on time are checked.
	tickInterval = 50 * time.Millisecond
	// stallAfter is the gap between two ticks after which the host counts as having
	// been paused: what it believes may be out of date.
	stallAfter = 300 * time.Millisecond
)

// control holds what the host believes about the other hosts, the configuration
// and the groups. One goroutine runs all of its methods, except those that say
// otherwise; calls carries work to it.
type control struct {
	gw    *Gateway
	calls chan func()

	incarnation uint64
	tables      map[TableName]*rows.Table
	members     map[string]*member
	// own is the version of this host's row; 0 if it is not written.
	own uint64
	// listedAt is the version since which a row lists this host's address, also if an
	// earlier incarnation wrote it; 0 if there is none.
	listedAt uint64
	leaving  bool
	// endpointsListed is true once the endpoints' table has been read.
	endpointsListed bool
	watches         map[string]*watch
	// entries holds the decoded rows of the endpoints' table.
	entries  map[string]entry
	lastTick time.Time
	lastNews time.Time
	// round counts the rounds of news.
	round int
	// lastSweep is when endpoints that are no longer listed were last looked for.
	lastSweep time.Time
	// asOf is the time as of which the mirror of each table is complete. That of
	// TableState gives the permission to use primaries.
	asOf map[TableName]time.Time
	// permitted is when the permission to use primaries ends.
	permitted time.Time
	reading   bool
	// registering is true while a write of this host's row is under way.
	registering bool
	lastCleanup time.Time
	// fleetSize is the number of listed hosts, this one included. It may be read from
	// any goroutine.
	fleetSize atomic.Int64
	// former holds when the rows of hosts vanished, by their addresses, for as long as
	// such a host may still use primaries.
	former map[string]time.Time
	// began is when this host started.
	began time.Time
}

// newControl returns the control state of a host that knows nothing.
func newControl(gw *Gateway) *control {
	c := &control{
		gw: gw, calls: make(chan func(), 256), incarnation: rand.Uint64() >> 1,
		tables: make(map[TableName]*rows.Table), members: make(map[string]*member),
		watches: make(map[string]*watch), asOf: make(map[TableName]time.Time),
		former: make(map[string]time.Time), began: boottime.Now(),
	}
	c.fleetSize.Store(1)
	for _, name := range Tables {
		c.tables[name] = rows.NewTable()
	}
	return c
}

// run works until the context ends.
func (c *control) run(ctx context.Context) {
	go c.follow(ctx, TableCatalog)
	go c.follow(ctx, TableEndpoints)
	c.registering = true
	go c.register(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-c.calls:
			f()
		case <-ticker.C:
			c.tick(boottime.Now())
		case <-ctx.Done():
			return
		}
	}
}

// do runs f on the control goroutine. It may be called from any other goroutine,
// and does not wait. It returns false if the gateway has ended.
func (c *control) do(f func()) bool {
	select {
	case c.calls <- f:
		return true
	case <-c.gw.ctx.Done():
		return false
	}
}

// ask runs f on the control goroutine and waits for it. It returns false if the
// gateway has ended; f then has not run and will not.
func (c *control) ask(f func()) bool {
	var taken atomic.Bool
	done := make(chan struct{})
	run := func() {
		if taken.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	}
	if !c.do(run) {
		return false
	}
	select {
	case <-done:
		return true
	case <-c.gw.ctx.Done():
	}
	if taken.CompareAndSwap(false, true) {
		return false
	}
	<-done
	return true
}

// tick checks conditions that depend on time.
func (c *control) tick(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > stallAfter {
		c.resumed(now)
	}
	c.lastTick = now
	c.readClaims(now)
	c.exchangeNews(now)
	c.permit()
	c.cleanup(now)
	c.gw.expireLeases(now)
	if now.Sub(c.lastSweep) >= sweepInterval {
		c.lastSweep = now
		c.endpointsChanged()
	}
	for name, g := range *c.gw.groupsNow.Load() {
		c.watchGroup(now, name, g)
	}
}

// resumed distrusts what the host believed before it was paused.
func (c *control) resumed(now time.Time) {
	c.gw.events.log.Warn().Dur("paused_ms", now.Sub(c.lastTick)).Msg("host was paused")
	c.lastNews = time.Time{}
	for _, g := range *c.gw.groupsNow.Load() {
		go c.survey(g, nil)
	}
}

// leave announces that the host stops.
func (c *control) leave() {
	c.ask(func() {
		c.leaving = true
		c.lastNews = time.Time{}
	})
}
