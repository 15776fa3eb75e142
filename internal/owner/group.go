package owner

import (
	"context"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/confirm"
	"github.com/beryltrestle/beryltrestle/coord/floors"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/statement"
)

// group is the serving state of one database group.
type group struct {
	cfg  *Config
	name string

	mu    sync.Mutex
	view  control.GroupView
	rules *statement.Rules
	sched admission.Scheduler
	// waiting holds the channel of each request in the queue, by work ID.
	waiting map[uint64]chan verdict
	nextID  uint64
	timer   *time.Timer
	// changed is closed and replaced whenever the view or the confirmed position
	// changes.
	changed chan struct{}
	// confirming counts the requests that wait for a confirmation.
	confirming int
	// inFlight counts requests that were admitted and have not ended.
	inFlight int

	// The fields below belong to one term.
	term      uint64
	floors    *floors.Floors
	tracker   *confirm.Tracker
	staleness *routing.Staleness
	pools     map[string]*connPool
	pollers   map[string]*poller
	// applied is the largest position that each endpoint is known to have applied.
	applied map[string]logpos.Position
	// primaryEnd is the largest position known to be in the primary's log.
	primaryEnd logpos.Position
}

// verdict is what a queued request gets.
type verdict struct {
	grant   admission.Grant
	refusal *refusal
}

func newGroup(cfg *Config, name string) *group {
	g := &group{
		cfg:     cfg,
		name:    name,
		sched:   cfg.NewScheduler(),
		waiting: make(map[uint64]chan verdict),
		changed: make(chan struct{}),
		pools:   make(map[string]*connPool),
		pollers: make(map[string]*poller),
		applied: make(map[string]logpos.Position),
		floors:  floors.New(logpos.Position{}),
	}
	g.timer = time.AfterFunc(time.Hour, g.pump)
	return g
}

// apply takes a new control view.
func (g *group) apply(v control.GroupView) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	rulesChanged := g.rules == nil || !samePool(g.view.Pool, v.Pool)
	g.view = v
	if rulesChanged {
		g.compileRules(v.Pool)
	}
	if v.Owned && v.Term != g.term {
		g.beginTerm(v)
	}
	g.observeView(now, v)
	g.breakUnreachable(v)
	g.sched.SetEndpoints(now, g.schedEndpoints(v))
	if !v.Owned && !v.Changing {
		g.refuseWaiting(notRun(metrics.RefusedNotOwner, stateCannotConnect, "this host does not own the pool"))
	}
	g.broadcast()
	g.pumpLocked()
}

// breakUnreachable ends the batches that wait for a replica which no longer
// answers; they are reads and are repeated elsewhere. Those on the primary wait
// for its replacement, which tells their outcome.
func (g *group) breakUnreachable(v control.GroupView) {
	if v.Term != g.term {
		return
	}
	for addr, ep := range v.Endpoints {
		if pool := g.pools[addr]; pool != nil && addr != v.Primary && !ep.At.IsZero() && !ep.Reachable {
			pool.breakInUse()
		}
	}
}

func (g *group) compileRules(pool manifest.Pool) {
	rules, err := statement.NewRules(pool)
	if err != nil {
		// The manifest is validated before it is applied, so this is a fault of
		// the program; the previous rules stay in force.
		g.cfg.Log.Error().Err(err).Str("pool", pool.Name).Msg("pool rules rejected")
		return
	}
	g.rules = rules
}

// beginTerm discards everything that was known in the previous term.
func (g *group) beginTerm(v control.GroupView) {
	g.term = v.Term
	g.floors = floors.New(v.Marker)
	g.staleness = routing.NewStaleness()
	g.applied = make(map[string]logpos.Position)
	g.primaryEnd = v.Marker
	for _, p := range g.pollers {
		p.stop()
	}
	for _, p := range g.pools {
		p.close()
	}
	g.pollers = make(map[string]*poller)
	g.pools = make(map[string]*connPool)
	var names []string
	for _, ep := range v.Pool.Endpoints {
		names = append(names, ep.Address)
	}
	g.tracker = confirm.New(v.Term, names)
	for _, ep := range v.Pool.Endpoints {
		g.pools[ep.Address] = newConnPool(v.Pool, ep, v.Term, g.cfg.Metrics)
		g.pollers[ep.Address] = startPoller(g, ep.Address, v.Term)
		go g.pools[ep.Address].warm(context.Background(), ep.Slots)
	}
}

// observeView feeds the status polls of the control goroutine to the machines.
func (g *group) observeView(now time.Time, v control.GroupView) {
	if g.tracker == nil || v.Term != g.term {
		return
	}
	for addr, ep := range v.Endpoints {
		if ep.At.IsZero() || !ep.Reachable {
			continue
		}
		g.observe(now, addr, ep)
	}
}

func (g *group) observe(now time.Time, addr string, ep control.EndpointView) {
	g.tracker.Observe(addr, ep.Term, ep.Received, ep.At)
	if ep.Term != g.term || ep.AppointedTerm != g.term {
		return
	}
	g.applied[addr] = logpos.Max(g.applied[addr], ep.Applied)
	if addr == g.view.Primary {
		g.primaryEnd = logpos.Max(g.primaryEnd, ep.Received)
		g.staleness.Sample(now, ep.Received)
	}
}

func (g *group) schedEndpoints(v control.GroupView) []admission.Endpoint {
	eps := make([]admission.Endpoint, 0, len(v.Pool.Endpoints))
	for _, ep := range v.Pool.Endpoints {
		st := v.Endpoints[ep.Address]
		primary := ep.Address == v.Primary
		accepting := v.Owned && !v.Changing
		if !primary {
			accepting = accepting && st.Reachable && st.AppointedTerm == v.Term
		}
		var distance time.Duration
		if ep.AvailabilityZone != g.cfg.AvailabilityZone {
			distance = g.cfg.ZoneDelay
		}
		eps = append(eps, admission.Endpoint{
			Name:      ep.Address,
			Slots:     ep.Slots,
			Primary:   primary,
			Accepting: accepting && !ep.Leaving,
			Distance:  distance,
		})
	}
	return eps
}

// broadcast wakes everything that waits for a change.
func (g *group) broadcast() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *group) refuseWaiting(r *refusal) {
	for id, ch := range g.waiting {
		g.sched.Remove(id)
		delete(g.waiting, id)
		ch <- verdict{refusal: r}
	}
}

// pump gives the grants that are possible now.
func (g *group) pump() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pumpLocked()
}

func (g *group) pumpLocked() {
	now := time.Now()
	grants, refusals := g.sched.Next(now)
	for _, r := range refusals {
		g.deliver(r.Work.ID, verdict{refusal: refusalOf(&r)})
	}
	for _, gr := range grants {
		if !g.deliver(gr.Work.ID, verdict{grant: gr}) {
			g.sched.Release(now, gr, 0, false)
		}
	}
	if wake := g.sched.Wake(now); !wake.IsZero() {
		g.timer.Reset(max(wake.Sub(now), time.Millisecond))
	}
}

func (g *group) deliver(id uint64, v verdict) bool {
	ch, ok := g.waiting[id]
	if !ok {
		return false
	}
	delete(g.waiting, id)
	if v.refusal == nil {
		g.inFlight++
	}
	ch <- v
	return true
}

// release frees the slot of a grant, if it has one.
func (g *group) release(gr admission.Grant, ran time.Duration, failed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if gr.Endpoint == "" {
		return
	}
	g.sched.Release(time.Now(), gr, ran, failed)
	g.pumpLocked()
}

// end counts an admitted request as finished.
func (g *group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.broadcast()
}

func refusalOf(r *admission.Refusal) *refusal {
	reason := metrics.RefusedDeadline
	msg := "the statement did not start before its deadline"
	if r.Reason == admission.ReasonExpectedWait {
		reason = metrics.RefusedExpectedWait
		msg = "the expected wait exceeds the statement's deadline"
	}
	out := notRun(reason, stateTooBusy, msg)
	out.retryAfter = r.RetryAfter
	return out
}
