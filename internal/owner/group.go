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

// group serves the requests of one database group: a primary and its replicas.
type group struct {
	cfg  *Config
	name string

	mu        sync.Mutex
	view      control.GroupView
	rules     *statement.Rules
	scheduler admission.Scheduler
	// queued holds the result channel of each request in the queue, by work ID.
	queued        map[uint64]chan admissionResult
	nextID        uint64
	dispatchTimer *time.Timer
	// changed is closed and replaced whenever the view or the confirmed position
	// changes.
	changed chan struct{}
	// pendingConfirmations is the number of requests that wait for a confirmation.
	pendingConfirmations int
	// inFlight is the number of requests that were admitted and have not ended.
	inFlight int
	// health ejects endpoints whose reads fail or are slow compared with
	// meanRunTimes, the mean run time of each statement by fingerprint.
	health       *routing.Health
	meanRunTimes map[uint64]time.Duration

	// The fields below are reset when a new term begins.
	term uint64
	// floors holds, for each session, the smallest position that its next read must
	// see.
	floors    *floors.Floors
	tracker   *confirm.Tracker
	staleness *routing.Staleness
	pools     map[string]*connPool
	pollers   map[string]*poller
	// applied is the largest position that each endpoint is known to have applied, by
	// address.
	applied map[string]logpos.Position
	// primaryEnd is the largest position known to be in the primary's log.
	primaryEnd logpos.Position
}

// admissionResult is what a queued request receives: a grant or a refusal.
type admissionResult struct {
	grant   admission.Grant
	refusal *refusal
}

func newGroup(cfg *Config, name string) *group {
	g := &group{
		cfg:          cfg,
		name:         name,
		scheduler:    cfg.NewScheduler(),
		queued:       make(map[uint64]chan admissionResult),
		changed:      make(chan struct{}),
		pools:        make(map[string]*connPool),
		pollers:      make(map[string]*poller),
		applied:      make(map[string]logpos.Position),
		floors:       floors.New(logpos.Position{}),
		health:       routing.NewHealth(),
		meanRunTimes: make(map[uint64]time.Duration),
	}
	g.dispatchTimer = time.AfterFunc(time.Hour, g.dispatch)
	return g
}

// apply updates the group to a new control view.
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
	g.closeUnreachable(v)
	g.scheduler.SetEndpoints(now, g.schedulerEndpoints(v))
	if !v.Owned && !v.InTransition {
		g.refuseQueued(notRun(metrics.RefusedNotOwner, stateCannotConnectNow, "this host does not own the pool"))
	}
	g.broadcast()
	g.dispatchLocked()
}

func (g *group) compileRules(pool manifest.Pool) {
	rules, err := statement.NewRules(pool)
	if err != nil {
		// The manifest is validated before it is applied, so this is a bug. The
		// previous rules stay in force.
		g.cfg.Log.Error().Err(err).Str("pool", pool.Name).Msg("the rules of a pool do not compile; the previous ones stay in force")
		return
	}
	g.rules = rules
}

// observeView records the results of the control goroutine's status polls.
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

// observe records the result of one status poll.
func (g *group) observe(addr string, ep control.EndpointView) {
	g.tracker.Observe(addr, ep.Term, ep.Received, ep.PolledAt)
	if ep.Term != g.term || ep.AppointedTerm != g.term {
		return
	}
	g.applied[addr] = logpos.Max(g.applied[addr], ep.Applied)
	if addr == g.view.Primary {
		g.primaryEnd = logpos.Max(g.primaryEnd, ep.Received)
		// The time at which the poll started makes replicas look older than they are,
		// never fresher.
		g.staleness.Sample(ep.PolledAt, ep.Received)
	}
}

// endRequest records that an admitted request has ended.
func (g *group) endRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.broadcast()
}
