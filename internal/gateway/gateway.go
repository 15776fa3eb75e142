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
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Config configures a Gateway.
type Config struct {
	// Host is this host's name; Address serves the other hosts' calls.
	Host             string
	Address          string
	AvailabilityZone string
	// Seeds are addresses of other hosts that may be asked before the store answers.
	Seeds []string
	// Grace is the time from the signal to stop until the process must end.
	Grace time.Duration
	// ZoneDistance is the time that an endpoint in another zone must save to be
	// preferred.
	ZoneDistance time.Duration

	Dialer      Dialer
	Store       Store
	Decoder     Decoder
	Promoter    Promoter
	Peers       Peers
	ParseStatus StatusParser
	Metrics     *metrics.Registry
	Log         zerolog.Logger
}

const (
	// retryShare and retryBurst bound attempts beyond the first to a share of the
	// statements, so that an overload is not multiplied.
	retryShare = 0.2
	retryBurst = 50
)

// Gateway serves sessions on one host.
type Gateway struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	pool    *pool
	metrics *metrics.Registry
	events  *events
	control *control

	catalogNow atomic.Pointer[Catalog]
	groupsNow  atomic.Pointer[map[string]*group]

	budgetMu sync.Mutex
	budget   *admission.RetryBudget

	// permittedUntil is when the permission to use primaries ends, as nanoseconds of
	// the boot clock.
	permittedUntil atomic.Int64

	sessions sessionSet
	leases   relayLeases
	// drains is true once the host has begun to stop.
	drains atomic.Bool
}

// New returns a Gateway that serves nothing before Run.
func New(cfg Config) *Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	gw := &Gateway{
		cfg: cfg, ctx: ctx, cancel: cancel, metrics: cfg.Metrics,
		budget: admission.NewRetryBudget(retryShare, retryBurst),
		events: newEvents(cfg.Log),
	}
	gw.sessions.open = make(map[*sessionServer]bool)
	gw.leases.open = make(map[uint64]*relayLease)
	gw.catalogNow.Store(&Catalog{})
	gw.groupsNow.Store(&map[string]*group{})
	gw.control = newControl(gw)
	gw.pool = &pool{
		dialer: cfg.Dialer, relays: cfg.Peers, metrics: cfg.Metrics, zone: cfg.AvailabilityZone,
		zoneDistance: cfg.ZoneDistance, parse: cfg.ParseStatus, onFailure: gw.control.suspect, permitted: gw.permitted,
	}
	return gw
}

// Run works until the context ends.
func (gw *Gateway) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, gw.cancel)
	defer stop()
	gw.control.run(gw.ctx)
	return nil
}

// Serve serves a caller until its session ends. welcome answers the caller's startup
// message once the database is known to be configured.
func (gw *Gateway) Serve(c Caller, welcome func() error) {
	if !gw.awaitDatabase(c) {
		gw.metrics.Inc(metrics.RefusedUnknownPool)
		_ = c.Refuse(noDatabase)
		c.Close()
		return
	}
	if err := welcome(); err != nil {
		c.Close()
		return
	}
	s := &sessionServer{gateway: gw, caller: c, state: session.New()}
	gw.sessions.add(s)
	defer gw.sessions.remove(s)
	s.serve()
}

// catalogWait bounds how long a caller waits for a host that has just started to
// learn its configuration; callers give up after 2 s.
const catalogWait = 1500 * time.Millisecond

// awaitDatabase reports whether the caller's database is configured.
func (gw *Gateway) awaitDatabase(c Caller) bool {
	deadline := time.Now().Add(catalogWait)
	for gw.catalog().Version == 0 && time.Now().Before(deadline) {
		wait.Sleep(gw.ctx, recheck)
	}
	_, ok := gw.database(c.Database())
	return ok
}

// catalog returns the newest configuration.
func (gw *Gateway) catalog() *Catalog { return gw.catalogNow.Load() }

// database returns the configuration of a database.
func (gw *Gateway) database(name string) (Database, bool) {
	db, ok := gw.catalog().Databases[name]
	return db, ok
}

// group returns a group, or nil.
func (gw *Gateway) group(name string) *group { return (*gw.groupsNow.Load())[name] }

// permitted reports whether this host may use primaries at the time.
func (gw *Gateway) permitted(now time.Time) bool {
	return now.UnixNano() < gw.permittedUntil.Load()
}

// retry takes an attempt out of the retry budget.
func (gw *Gateway) retry() bool {
	gw.budgetMu.Lock()
	defer gw.budgetMu.Unlock()
	if gw.budget.TryRetry() {
		return true
	}
	gw.metrics.Inc(metrics.RetryBudgetSpent)
	return false
}

// answered counts a statement and logs what went wrong with it.
func (gw *Gateway) answered(s *sessionServer, st session.Statement, r *Reply) {
	if st.ID == "" {
		return
	}
	gw.budgetMu.Lock()
	gw.budget.CountRequest()
	gw.budgetMu.Unlock()
	gw.metrics.Inc(metrics.Requests)
	if !r.OK() {
		gw.events.refused(st.ID, s.db.Name, r)
	}
}

// lost records a connection that failed in use.
func (gw *Gateway) lost(c *conn, err error) {
	t := c.target
	now := boottime.Now()
	t.group.mu.Lock()
	switch {
	case c.via != "" && !errors.Is(err, ErrAnswerLost) && t.holderFailed(now, c.via):
		// The other holders may reach the endpoint.
	case !isTimeout(err):
		t.failed(now)
	}
	t.group.mu.Unlock()
	gw.control.suspect(t)
}

// Times after which a caller should come back, by what it waits for.
const (
	// returnAfterBusy is about the time that a full endpoint queue takes to drain.
	returnAfterBusy = 150 * time.Millisecond
	// returnAfterFailover is about the time that a change of primary takes.
	returnAfterFailover = 600 * time.Millisecond
)

// hint tells the caller why it was refused and when to come back; the time is
// spread so that callers do not return together.
func (gw *Gateway) hint(reason metrics.Name) string {
	after := returnAfterBusy
	if reason == metrics.RefusedNoPrimary {
		after = returnAfterFailover
	}
	spread := time.Duration(rand.Int64N(int64(after)))
	return string(reason) + " retry-after-ms=" + strconv.FormatInt((after+spread).Milliseconds(), 10)
}
