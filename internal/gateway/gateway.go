package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Config configures a Gateway.
type Config struct {
	// Host is this host's name. Address is where it serves the calls of other hosts.
	Host             string
	Address          string
	AvailabilityZone string
	// Weight is this host's capacity relative to that of other hosts. A host of twice the weight
	// is chosen twice as often to hold connections to an endpoint, to read the store and to pass
	// gossip on. Hosts without a weight count as equal.
	Weight int
	// Seeds are addresses of other hosts to gossip with until the store has listed the
	// hosts.
	Seeds []string
	// Grace is the time between the stop signal and the forced end of the process.
	Grace time.Duration
	// ConfigurationBound is the time within which an accepted configuration must be in
	// force. Zero means defaultConfigurationBound.
	ConfigurationBound time.Duration
	// DrainBound is the time after which an endpoint that drains must get no new work. Zero
	// means defaultDrainBound.
	DrainBound time.Duration
	// RevocationBound is the time within which a withdrawn key must stop working. Zero means
	// that there is no bound.
	RevocationBound time.Duration
	// Quota holds the rules for the limits of teams. Without a window there are no limits.
	Quota quota.Rules
	// ZoneDistance is added to the expected response time of endpoints in other
	// availability zones: such an endpoint is chosen only if it saves more than that.
	ZoneDistance time.Duration
	// AdaptiveConcurrency learns how many statements each endpoint should have in flight.
	// Without it, two statements for each of its slots are allowed.
	AdaptiveConcurrency bool

	Dialer      Dialer
	Store       Store
	Decoder     Decoder
	Promoter    Promoter
	Peers       PeerClient
	ParseStatus StatusParser
	Metrics     *metrics.Registry
	Log         zerolog.Logger
}

// defaultDrainBound is used if no bound is configured.
const defaultDrainBound = 7 * time.Second

const (
	// retryShare and retryBurst limit retries to a share of the statements, so that an
	// overload is not multiplied by retries.
	retryShare = 0.2
	retryBurst = 50
)

// Gateway serves sessions on one host.
type Gateway struct {
	cfg        Config
	ctx        context.Context
	cancel     context.CancelFunc
	pool       *pool
	metrics    *metrics.Registry
	events     *eventLog
	guard      recovery.Guard
	controller *controller

	currentCatalog atomic.Pointer[Catalog]
	currentGroups  atomic.Pointer[map[string]*group]

	budgetMu sync.Mutex
	budget   *admission.RetryBudget

	// catalogAsOf is the time as of which the configuration is known to be the newest, in
	// nanoseconds of the boot clock; 0 if it was never read.
	catalogAsOf atomic.Int64

	// permittedUntil is when this host's permission to use primaries ends, in
	// nanoseconds of the boot clock.
	permittedUntil atomic.Int64
	// settledVersion is FenceReply.SettledVersion.
	settledVersion atomic.Uint64

	// quota keeps the operations of teams within their limits; nil if there are none.
	quota *teamQuota

	sessions            sessionSet
	relayedTransactions relayedTransactions
	// draining is true once the host has begun to stop.
	draining atomic.Bool
	// sessionStateBytes is the size of the values and prepared statements of all sessions.
	sessionStateBytes atomic.Int64
}

// New returns a Gateway. It serves callers once Run is called.
func New(cfg Config) *Gateway {
	if cfg.ConfigurationBound <= 0 {
		cfg.ConfigurationBound = defaultConfigurationBound
	}
	if cfg.DrainBound <= 0 {
		cfg.DrainBound = defaultDrainBound
	}
	ctx, cancel := context.WithCancel(context.Background())
	guard := recovery.NewGuard(cfg.Metrics, cfg.Log)
	cfg = guardConfig(cfg, guard)
	gw := &Gateway{
		cfg: cfg, ctx: ctx, cancel: cancel, metrics: cfg.Metrics, guard: guard,
		budget: admission.NewRetryBudget(retryShare, retryBurst),
		events: newEventLog(cfg.Log, cfg.Metrics),
	}
	gw.sessions.open = make(map[*sessionServer]openSession)
	gw.relayedTransactions.open = make(map[uint64]*relayedTransaction)
	gw.currentCatalog.Store(&Catalog{})
	gw.currentGroups.Store(&map[string]*group{})
	gw.controller = newController(gw)
	if cfg.Quota.Window > 0 {
		gw.quota = newTeamQuota(cfg)
	}
	gw.pool = &pool{
		dialer: cfg.Dialer, peers: cfg.Peers, metrics: cfg.Metrics, guard: guard, log: gw.events.log, replacedLog: gw.events.replaced, zone: cfg.AvailabilityZone,
		zoneDistance: cfg.ZoneDistance, parseStatus: cfg.ParseStatus, onFailure: gw.controller.requestProbe, permittedUntil: gw.primaryPermittedUntil, drainBound: cfg.DrainBound,
		adaptiveConcurrency: cfg.AdaptiveConcurrency,
	}
	return gw
}

// Run runs the controller until ctx ends. After a panic of the controller, its state may be
// damaged: Run then stops the host gracefully and returns an error, so that the process ends
// and a new one starts without that state.
func (gw *Gateway) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, gw.cancel)
	defer stop()
	err := gw.controller.run(gw.ctx)
	if err != nil {
		gw.events.log.Error().Err(err).Msg("control state may be damaged; the host stops")
		gw.Drain()
	}
	return err
}

// Serve serves a caller until its session ends. It calls welcome to answer the startup
// message once the caller's database is known to be configured.
func (gw *Gateway) Serve(caller Caller, welcome func() error) {
	if !gw.awaitDatabase(caller) {
		_ = caller.Refuse(gw.refuseUnknownDatabase())
		caller.Close()
		return
	}
	if _, refusal := gw.authorize(caller, Database{}, boottime.Now()); refusal != nil {
		_ = caller.Refuse(*refusal)
		caller.Close()
		return
	}
	if gw.sessions.isClosing() {
		// The load balancer still sends sessions if too few hosts are ready.
		gw.metrics.Inc(metrics.RefusedDraining)
		_ = caller.Refuse(Reply{Code: CodeBusy, Detail: gw.retryHint(metrics.RefusedDraining)})
		caller.Close()
		return
	}
	if err := welcome(); err != nil {
		caller.Close()
		return
	}
	s := &sessionServer{gateway: gw, caller: caller, account: caller.Account(), state: session.New()}
	gw.sessions.add(s)
	defer gw.sessions.remove(s)
	// The guard logs a panic, and s has closed the caller's connection.
	_ = gw.guard.Do("session", s.serve)
}

// catalogWait limits how long a caller waits for a host that has just started to load
// its configuration. Callers give up after 2 s.
const catalogWait = 1500 * time.Millisecond

// awaitDatabase reports whether the caller's database is configured. It waits up to
// catalogWait for a first configuration.
func (gw *Gateway) awaitDatabase(caller Caller) bool {
	deadline := time.Now().Add(catalogWait)
	for gw.catalog().Version == 0 && time.Now().Before(deadline) && wait.Sleep(gw.ctx, recheckInterval) {
	}
	_, ok := gw.database(caller.Database())
	return ok
}

// catalog returns the newest configuration.
func (gw *Gateway) catalog() *Catalog { return gw.currentCatalog.Load() }

// database returns the configuration of a database.
func (gw *Gateway) database(name string) (Database, bool) {
	db, ok := gw.catalog().Databases[name]
	return db, ok
}

// group returns the group of that name, or nil.
func (gw *Gateway) group(name string) *group { return (*gw.currentGroups.Load())[name] }

// primaryPermitted reports whether this host may use primaries at time now.
func (gw *Gateway) primaryPermitted(now time.Time) bool {
	return now.Before(gw.primaryPermittedUntil())
}

// primaryPermittedUntil returns when this host's permission to use primaries ends.
func (gw *Gateway) primaryPermittedUntil() time.Time { return time.Unix(0, gw.permittedUntil.Load()) }

// tryRetry takes one retry from the retry budget. It returns false if the budget is
// spent.
func (gw *Gateway) tryRetry() bool {
	gw.budgetMu.Lock()
	defer gw.budgetMu.Unlock()
	if gw.budget.TryRetry() {
		return true
	}
	gw.metrics.Inc(metrics.RetryBudgetSpent)
	return false
}

// countAnswer counts the answered statement and logs it if it failed.
func (gw *Gateway) countAnswer(s *sessionServer, st session.Statement, r *Reply) {
	if st.ID == "" {
		return
	}
	gw.budgetMu.Lock()
	gw.budget.CountRequest()
	gw.budgetMu.Unlock()
	gw.metrics.Inc(metrics.Requests)
	if !r.OK() {
		gw.events.requestRefused(st.ID, s.db.Name, r)
	}
}

// connectionLost records that a connection failed while it was in use.
func (gw *Gateway) connectionLost(c *conn, err error) {
	if errors.Is(err, errPrimaryReplaced) || errors.Is(err, errReplayRefused) {
		// The endpoint has answered, or was not asked.
		return
	}
	t := c.target
	now := boottime.Now()
	t.recordLostConnection(now, c, err)
	gw.controller.requestProbe(t)
}

// recordLostConnection records that a connection to the target failed at the given time.
func (t *target) recordLostConnection(now time.Time, c *conn, err error) {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	switch {
	case c.relayAddress != "" && !errors.Is(err, ErrAnswerLost) && t.relayFailed(now, c.relayAddress):
		// Other relay hosts may still reach the endpoint.
	case !isTimeout(err):
		t.recordFailure(now)
	}
}

// Delays after which callers are advised to retry, by reason of refusal.
const (
	// retryAfterBusy is about the time that a full endpoint queue takes to drain.
	retryAfterBusy = 150 * time.Millisecond
	// retryAfterFailover is about the time that a failover takes.
	retryAfterFailover = 600 * time.Millisecond
)

// retryDelay returns the least delay after which a caller that was refused for the reason should
// retry. Jitter makes it up to twice as long.
func retryDelay(reason metrics.Name) time.Duration {
	if reason == metrics.RefusedNoPrimary {
		return retryAfterFailover
	}
	return retryAfterBusy
}

// retryHint returns the reason of a refusal and the delay after which the caller should
// retry. The delay is jittered so that callers do not return all at once.
func (gw *Gateway) retryHint(reason metrics.Name) string {
	delay := retryDelay(reason)
	jitter := time.Duration(rand.Int64N(int64(delay)))
	return string(reason) + " retry-after-ms=" + strconv.FormatInt((delay+jitter).Milliseconds(), 10)
}
