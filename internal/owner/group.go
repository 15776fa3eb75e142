package owner

import (
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
	if !v.Owned && !v.InTransition {
		g.refuseWaiting(notRun(metrics.RefusedNotOwner, stateCannotConnect, "this host does not own the pool"))
	}
	g.broadcast()
	g.pumpLocked()
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

// observeView feeds the status polls of the control goroutine to the machines.
func (g *group) observeView(v control.GroupView) {
	if g.tracker == nil || v.Term != g.term {
		return
	}
	for addr, ep := range v.Endpoints {
		if ep.PolledAt.IsZero() || !ep.Reachable {
			continue
		}
		g.observe(addr, ep)
	}
}

func (g *group) observe(addr string, ep control.EndpointView) {
	g.tracker.Observe(addr, ep.Term, ep.Received, ep.PolledAt)
	if ep.Term != g.term || ep.AppointedTerm != g.term {
		return
	}
	g.applied[addr] = logpos.Max(g.applied[addr], ep.Applied)
	if addr == g.view.Primary {
		g.primaryEnd = logpos.Max(g.primaryEnd, ep.Received)
		// The poll's start makes replicas look older, never fresher, than they are.
		g.staleness.Sample(ep.PolledAt, ep.Received)
	}
}

// end counts an admitted request as finished.
func (g *group) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.broadcast()
}
