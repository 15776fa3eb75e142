package owner

import (
	"context"
	"slices"
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
	// health ejects endpoints whose reads are slow or fail, compared with usual,
	// the mean run time of each statement.
	health *routing.Health
	usual  map[uint64]time.Duration

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
		health:  routing.NewHealth(),
		usual:   make(map[uint64]time.Duration),
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
	if v.Owned {
		g.syncEndpoints(v)
	}
	g.observeView(v)
	g.health.Update(now)
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
	g.tracker = nil
	for addr := range g.pools {
		g.dropEndpoint(addr)
	}
}

func (g *group) dropEndpoint(addr string) {
	g.pollers[addr].stop()
	g.pools[addr].close()
	delete(g.pollers, addr)
	delete(g.pools, addr)
	delete(g.applied, addr)
}

// syncEndpoints makes pools, pollers and the tracker fit the endpoints of the
// view, which change with the term and with the manifest.
func (g *group) syncEndpoints(v control.GroupView) {
	names := make([]string, len(v.Pool.Endpoints))
	changed := g.tracker == nil || len(names) != len(g.pools)
	for i, ep := range v.Pool.Endpoints {
		names[i] = ep.Address
		if g.pools[ep.Address] == nil {
			g.addEndpoint(v, ep)
			changed = true
		}
	}
	if !changed {
		return
	}
	for addr := range g.pools {
		if !slices.Contains(names, addr) {
			g.dropEndpoint(addr)
		}
	}
	// A majority of the new list is needed from now on. What the old tracker had
	// seen is polled again.
	g.tracker = confirm.New(g.term, names)
	g.health.SetEndpoints(time.Now(), names)
}

func (g *group) addEndpoint(v control.GroupView, ep manifest.Endpoint) {
	pool := newConnPool(v.Pool, ep, g.term, g.cfg.Metrics)
	g.pools[ep.Address] = pool
	g.pollers[ep.Address] = startPoller(g, ep.Address, g.term)
	go pool.warm(context.Background(), ep.Slots)
}

// observeView feeds the status polls of the control goroutine to the machines.
func (g *group) observeView(v control.GroupView) {
	if g.tracker == nil || v.Term != g.term {
		return
	}
	for addr, ep := range v.Endpoints {
		if ep.At.IsZero() || !ep.Reachable {
			continue
		}
		g.observe(addr, ep)
	}
}

func (g *group) observe(addr string, ep control.EndpointView) {
	g.tracker.Observe(addr, ep.Term, ep.Received, ep.At)
	if ep.Term != g.term || ep.AppointedTerm != g.term {
		return
	}
	g.applied[addr] = logpos.Max(g.applied[addr], ep.Applied)
	if addr == g.view.Primary {
		g.primaryEnd = logpos.Max(g.primaryEnd, ep.Received)
		// The poll's start makes replicas look older, never fresher, than they are.
		g.staleness.Sample(ep.At, ep.Received)
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
	if gr.Work.ReadOnly {
		g.health.Observe(gr.Endpoint, ran, g.learn(gr.Work.Fingerprint, ran, failed), failed)
	}
	g.pumpLocked()
}

// learn returns the usual run time of the statement, 0 if it is not known, and
// takes the new one into account.
func (g *group) learn(fingerprint uint64, ran time.Duration, failed bool) time.Duration {
	usual := g.usual[fingerprint]
	if failed || ran <= 0 || usual == 0 && len(g.usual) >= maxUsual {
		return usual
	}
	if usual == 0 {
		g.usual[fingerprint] = ran
		return 0
	}
	g.usual[fingerprint] = usual + (ran-usual)/usualWeight
	return usual
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
