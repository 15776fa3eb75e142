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
	// candidateCount is the number of a group's candidates: rank 0 should be the
	// owner, ranks 1 to 3 monitor it.
	candidateCount = 4
	// tickInterval is the time between two steps of each machine.
	tickInterval = 50 * time.Millisecond
	// urgentInterval replaces tickInterval while a change is under way.
	urgentInterval = claim.FastPollInterval
	// eventQueue is the number of events that may wait for the loop.
	eventQueue = 1024
	// eventBatch is the number of events handled before the next View.
	eventBatch = 64
)

// event is an input of the loop; it runs on the control goroutine.
type event func(now time.Time)

// Loop is the control goroutine of a daemon. It implements Controller and the
// PreVote, Heartbeat, Handover and Locate parts of peer.ControlHandler. All methods may
// be called from any goroutine; those that wait for the loop return an error if
// their context ends first.
type Loop struct {
	cfg    Config
	holder string
	events chan event
	// stopped is closed when Run returns.
	stopped chan struct{}
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]

	// The fields below belong to the control goroutine.
	members    *membership.Members
	generation uint64
	document   *manifest.Document
	// placed are the hosts of the current rankings.
	placed        []placement.Host
	groups        map[string]*group
	active        map[string]*group
	dirty         map[string]bool
	dirtyAll      bool
	stale         map[string]bool
	pending       []pendingAction
	lastBeat      time.Time
	lastGossip    time.Time
	gossipTurn    uint64
	beatNow       bool
	beating       map[string]bool
	leaving       bool
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
		cfg:     cfg,
		holder:  fmt.Sprintf("%s/%x", cfg.Name, cfg.Incarnation),
		events:  make(chan event, eventQueue),
		stopped: make(chan struct{}),
		members: membership.New(),
		groups:  make(map[string]*group),
		active:  make(map[string]*group),
		dirty:   make(map[string]bool),
		stale:   make(map[string]bool),
		beating: make(map[string]bool),
	}
	l.view.Store(&View{})
	ch := make(chan struct{})
	l.changed.Store(&ch)
	return l
}

// Run runs the loop until ctx ends, and then waits for its workers. It returns
// ctx's error.
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
			timer.Reset(l.interval())
		}
		l.publish()
		l.runPending()
	}
}

// runBatch handles the event and those already waiting.
func (l *Loop) runBatch(e event) {
	e(time.Now())
	for range eventBatch {
		select {
		case e = <-l.events:
			e(time.Now())
		default:
			return
		}
	}
}

func (l *Loop) tick(now time.Time) {
	for name, g := range l.active {
		l.step(now, name, g, claim.Tick{})
	}
	l.beat(now)
	l.gossip(now)
	l.checkLeft()
}

func (l *Loop) interval() time.Duration {
	for _, g := range l.active {
		if g.machine.NeedsFastPolling() {
			return urgentInterval
		}
	}
	return tickInterval
}

// step runs one event through the group's machine.
func (l *Loop) step(now time.Time, name string, g *group, e claim.Event) {
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
		l.stale[name] = true
	default:
		l.dirty[name] = true
	}
	g.state = s
	g.renewLease()
	if g.machine.ShouldAnnounce(now) && g.announced != s.Term {
		g.announced = s.Term
		l.beatNow = true
	}
}

// post hands an event to the loop. It returns false if ctx or the loop ended
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

// stepPool posts an event for the pool's machine.
func (l *Loop) stepPool(ctx context.Context, pool string, e claim.Event) {
	l.post(ctx, func(now time.Time) {
		if g, ok := l.groups[pool]; ok {
			l.step(now, pool, g, e)
		}
	})
}
