package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// endpointSweepInterval is how often endpoints whose row has disappeared are
	// removed.
	endpointSweepInterval = 500 * time.Millisecond
	// tickInterval is how often time-dependent conditions are checked.
	tickInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two ticks above which the process counts as
	// paused, so that its state may be out of date.
	pauseThreshold = 300 * time.Millisecond
	// minResumeInterval is the minimum time between two refreshes of the state after a
	// pause. A host without enough processor time appears to be paused all the time, and
	// must not answer that with more calls.
	minResumeInterval = 5 * time.Second
)

// controller holds this host's view of the other hosts, the configuration and the
// groups. All methods run on one goroutine unless their comment says otherwise; other
// goroutines submit tasks to it.
type controller struct {
	gw    *Gateway
	tasks chan func()

	incarnation uint64
	tables      map[TableName]*rows.Table
	members     map[string]*member
	// ownRowVersion is the version of this host's row; 0 until it is written.
	ownRowVersion uint64
	// listedSinceVersion is the version since which a row has listed this host's
	// address, including rows of earlier incarnations; 0 if there is none.
	listedSinceVersion uint64
	leaving            bool
	// unregistering is true once this host has begun to remove its row.
	unregistering bool
	// endpointsLoaded is true once the endpoints table has been read.
	endpointsLoaded bool
	monitors        map[string]*groupMonitor
	// endpointRows holds the decoded rows of the endpoints table by key.
	endpointRows map[string]endpointRow
	lastTick     time.Time
	lastGossip   time.Time
	// gossipToAll makes the next gossip round call every host.
	gossipToAll bool
	// isAggregator is true if this host was a zone aggregator in the last gossip round.
	isAggregator bool
	// askingMajority is true if this host asked the majority in the last gossip round.
	askingMajority bool
	// resumedAt is when this host last refreshed its state after a pause.
	resumedAt time.Time
	// gossipRound counts the gossip rounds.
	gossipRound int
	// lastSweep is when endpoints without a row were last removed.
	lastSweep time.Time
	// completeAsOf is the time as of which the mirror of each table is complete. The
	// permission to use primaries depends on that of TableState.
	completeAsOf map[TableName]time.Time
	// relayedEvidence is the time as of which the newest evidence of another host for the
	// permission to use primaries was true.
	relayedEvidence time.Time
	// permittedUntil is when the permission to use primaries ends.
	permittedUntil time.Time
	// permitted is whether the permission stood when it was last computed.
	permitted bool
	// permissionTimer calls permissionEnded when the permission ends.
	permissionTimer *time.Timer
	readingClaims   bool
	// registering is true while this host's row is being written.
	registering bool
	lastCleanup time.Time
	// fleetSize is the number of listed hosts, including this one. It may be read from
	// any goroutine.
	fleetSize atomic.Int64
	// lateMirrors holds the tables whose mirror was late when it was last checked.
	lateMirrors map[TableName]bool
	removals    hostRemovals
	// startedAt is when this host began to run. Its listeners are open by then, so that an earlier
	// process at its address answers no calls any more.
	startedAt   time.Time
	electorate  electorateState
	restoration restorationState
	// replicaSetsCheckedAt is when the replica sets were last compared with the listing.
	replicaSetsCheckedAt time.Time

	// failed is closed once the controller or a goroutine of it has panicked; failure is
	// the reason. They may be used from any goroutine.
	failed   chan struct{}
	failOnce sync.Once
	failure  error
}

// newController returns a controller that does not know any other host yet.
func newController(gw *Gateway) *controller {
	c := &controller{
		gw: gw, tasks: make(chan func(), 256), incarnation: rand.Uint64() >> 1,
		tables: make(map[TableName]*rows.Table), members: make(map[string]*member),
		monitors: make(map[string]*groupMonitor), completeAsOf: make(map[TableName]time.Time),
		lateMirrors: make(map[TableName]bool), removals: hostRemovals{departures: make(map[string]departure)}, startedAt: boottime.Now(),
		failed: make(chan struct{}),
	}
	// A timer without a time to run: updatePermission sets it.
	c.permissionTimer = time.AfterFunc(permission.Duration, c.guarded("permission ended", c.permissionEnded))
	c.permissionTimer.Stop()
	c.fleetSize.Store(1)
	for _, name := range Tables {
		c.tables[name] = rows.NewTable()
	}
	return c
}

// run processes tasks and ticks until ctx ends. It returns an error if the controller or one
// of its goroutines panics.
func (c *controller) run(ctx context.Context) error {
	c.startedAt = boottime.Now()
	c.spawn("mirror catalog", func() { c.mirrorTable(ctx, TableCatalog) })
	c.spawn("mirror endpoints", func() { c.mirrorTable(ctx, TableEndpoints) })
	c.registering = true
	c.spawn("register", func() { c.register(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case f := <-c.tasks:
			c.guarded("control task", f)()
		case <-ticker.C:
			c.guarded("control tick", func() { c.tick(boottime.Now()) })()
		case <-c.failed:
			return c.failure
		case <-ctx.Done():
			return nil
		}
	}
}

// spawn runs f on a goroutine of its own. It may be called from any goroutine.
func (c *controller) spawn(work string, f func()) { go c.guarded(work, f)() }

// guarded returns a function that runs f. If f panics, the controller fails, since f may
// have left its state incomplete.
func (c *controller) guarded(work string, f func()) func() {
	return func() {
		err := c.gw.guard.Do(work, f)
		if err == nil {
			return
		}
		c.failOnce.Do(func() {
			c.failure = err
			close(c.failed)
		})
	}
}

// submit queues f to run on the controller goroutine and does not wait for it. It must
// be called from another goroutine. It returns false if the gateway or the controller has
// ended.
func (c *controller) submit(f func()) bool {
	select {
	case c.tasks <- f:
		return true
	case <-c.failed:
	case <-c.gw.ctx.Done():
	}
	return false
}

// submitAndWait runs f on the controller goroutine and waits until it is done. It
// returns false if the gateway or the controller has ended; f has then not run and will not
// run.
func (c *controller) submitAndWait(f func()) bool {
	var taken atomic.Bool
	done := make(chan struct{})
	began := boottime.Now()
	run := func() {
		c.gw.metrics.Observe(metrics.LatencyControl, boottime.Now().Sub(began))
		if taken.CompareAndSwap(false, true) {
			defer close(done)
			f()
		}
	}
	if !c.submit(run) {
		return false
	}
	select {
	case <-done:
		return true
	case <-c.failed:
	case <-c.gw.ctx.Done():
	}
	if taken.CompareAndSwap(false, true) {
		return false
	}
	<-done
	return true
}

// tick checks time-dependent conditions.
func (c *controller) tick(now time.Time) {
	if !c.lastTick.IsZero() && now.Sub(c.lastTick) > pauseThreshold {
		c.handlePause(now)
	}
	c.lastTick = now
	c.sampleMirror(now)
	c.readClaims(now)
	c.gossip(now)
	c.updatePermission()
	c.maintainElectorate(now)
	c.maintainRestoration(now)
	c.removeUnresponsiveMembers(now)
	c.maintainReplicaSets(now)
	c.gw.expireRelayedTransactions(now)
	if now.Sub(c.lastSweep) >= endpointSweepInterval {
		c.lastSweep = now
		c.updateGroups()
		c.checkMirrorAges(now)
		c.reportWindows()
	}
	for name, g := range *c.gw.currentGroups.Load() {
		c.checkGroup(now, name, g)
	}
}

// handlePause refreshes state that may be out of date because the process was paused. It
// affects only how soon this host serves again: what it may still use is decided by the
// ages of what it knows, which count pauses.
func (c *controller) handlePause(now time.Time) {
	c.gw.events.log.Warn().Dur("paused_ms", now.Sub(c.lastTick)).Msg("host was paused")
	if now.Sub(c.resumedAt) < minResumeInterval {
		return
	}
	c.resumedAt = now
	c.startGossipRound(len(c.members) <= smallFleetSize)
	for _, g := range *c.gw.currentGroups.Load() {
		c.spawn("survey", func() { c.survey(g, nil) })
	}
}

// announceLeaving tells the other hosts that this host is stopping.
func (c *controller) announceLeaving() {
	c.submitAndWait(func() {
		c.leaving = true
		c.startGossipRound(true)
	})
}
