package control

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/membership"
	"github.com/beryltrestle/beryltrestle/coord/placement"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// candidatesPerGroup is the number of candidates of a group: rank 0 should own
	// it, ranks 1 to 3 monitor the owner.
	candidatesPerGroup = 4
	// tickInterval is the time between two steps of each machine.
	tickInterval = 50 * time.Millisecond
	// fastTickInterval replaces tickInterval while a machine needs fast polling.
	fastTickInterval = claim.FastPollInterval
	// eventQueueSize is the number of events that can wait for the loop before post
	// blocks.
	eventQueueSize = 1024
	// maxEventBatch limits the events that follow the first one before the next
	// View.
	maxEventBatch = 64
)

// event is an input of the loop; it runs on the control goroutine.
type event func(now time.Time)

// Loop is the control goroutine of a daemon. It implements Controller and the
// PreVote, Heartbeat, Handover and Locate methods of peer.ControlHandler. All
// exported methods may be called from any goroutine; those that wait for the loop
// return an error if their context ends first.
type Loop struct {
	cfg Config
	// holder names this incarnation of the daemon in the terms of endpoints.
	holder string
	events chan event
	// stopped is closed when Run returns.
	stopped chan struct{}
	view    atomic.Pointer[View]
	// viewChanged is closed and replaced when the next View is published.
	viewChanged atomic.Pointer[chan struct{}]

	// The fields below belong to the control goroutine.
	members    *membership.Members
	generation uint64
	document   *manifest.Document
	// placedHosts are the hosts that the current rankings are made from.
	placedHosts []placement.Host
	// groups holds a group for each pool of the manifest, by pool name;
	// activeGroups holds those that have a machine.
	groups       map[string]*group
	activeGroups map[string]*group
	// changedGroups holds the pools to publish in the next View, and
	// repolledGroups those of which only poll times and log positions changed.
	// allChanged publishes all pools.
	changedGroups  map[string]bool
	allChanged     bool
	repolledGroups map[string]bool
	pending        []pendingAction
	lastHeartbeat  time.Time
	lastGossip     time.Time
	nextGossipPeer uint64
	// heartbeatDue makes the next tick send owner heartbeats before
	// heartbeatInterval has passed.
	heartbeatDue bool
	// heartbeatInFlight holds the peers whose answer to a heartbeat is awaited.
	heartbeatInFlight map[string]bool
	leaving           bool
	// leaveWaiters are closed when the leave is complete.
	leaveWaiters  []chan struct{}
	workers       sync.WaitGroup
	workerContext context.Context
}

// New returns a loop that has not been started.
func New(cfg Config) *Loop {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	l := &Loop{
		cfg:               cfg,
		holder:            fmt.Sprintf("%s/%x", cfg.Name, cfg.Incarnation),
		events:            make(chan event, eventQueueSize),
		stopped:           make(chan struct{}),
		members:           membership.New(),
		groups:            make(map[string]*group),
		activeGroups:      make(map[string]*group),
		changedGroups:     make(map[string]bool),
		repolledGroups:    make(map[string]bool),
		heartbeatInFlight: make(map[string]bool),
	}
	l.view.Store(&View{})
	ch := make(chan struct{})
	l.viewChanged.Store(&ch)
	return l
}

// Run runs the loop until ctx ends, waits for its workers and returns ctx's
// error.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.stopped)
	ctx, cancel := context.WithCancel(ctx)
	defer l.workers.Wait()
	defer cancel()
	l.workerContext = ctx
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-l.events:
			l.runBatch(e)
		case <-timer.C:
			l.tick(time.Now())
			timer.Reset(l.nextTickDelay())
		}
		l.publish()
		l.startPendingActions()
	}
}

// runBatch handles the event and up to maxEventBatch waiting ones.
func (l *Loop) runBatch(e event) {
	e(time.Now())
	for range maxEventBatch {
		select {
		case e = <-l.events:
			e(time.Now())
		default:
			return
		}
	}
}

// tick steps every machine and sends the heartbeats that are due.
func (l *Loop) tick(now time.Time) {
	for name, g := range l.activeGroups {
		l.stepMachine(now, name, g, claim.Tick{})
	}
	l.sendOwnerHeartbeats(now)
	l.gossip(now)
	l.notifyIfLeft()
}

// nextTickDelay returns the time until the next tick.
func (l *Loop) nextTickDelay() time.Duration {
	for _, g := range l.activeGroups {
		if g.machine.NeedsFastPolling() {
			return fastTickInterval
		}
	}
	return tickInterval
}

// stepMachine passes one event to the group's machine, queues the resulting
// actions and marks the group for the next View if its state changed.
func (l *Loop) stepMachine(now time.Time, name string, g *group, e claim.Event) {
	if g.machine == nil {
		return
	}
	for _, a := range g.machine.Step(now, e) {
		l.pending = append(l.pending, pendingAction{pool: name, action: a})
	}
	s := g.machine.State()
	switch {
	case s.Equal(g.state):
		return
	case s.EqualIgnoringPolls(g.state):
		l.repolledGroups[name] = true
	default:
		l.changedGroups[name] = true
	}
	g.state = s
	g.updateLease()
	if g.machine.ShouldAnnounce(now) && g.announcedTerm != s.Term {
		g.announcedTerm = s.Term
		l.heartbeatDue = true
	}
}

// post queues an event for the loop. It returns false if ctx or the loop ended
// first.
func (l *Loop) post(ctx context.Context, e event) bool {
	select {
	case l.events <- e:
		return true
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
}

// postToMachine queues an event for the pool's machine.
func (l *Loop) postToMachine(ctx context.Context, pool string, e claim.Event) {
	l.post(ctx, func(now time.Time) {
		if g, ok := l.groups[pool]; ok {
			l.stepMachine(now, pool, g, e)
		}
	})
}
