package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// replicateInterval is how often replicas fetch new log entries.
	replicateInterval = 5 * time.Millisecond
	// startTimeout bounds the time until every host serves for the first time.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which every host must serve
	// again.
	recoveryTimeout = 15 * time.Second
	// groupSize is the number of endpoints in the group.
	groupSize = 3
	// maxConnections is the limit of connections to an endpoint, as at the users' sites.
	maxConnections = 60
)

// Config configures Run.
type Config struct {
	// DaemonPath is the path of the daemon's executable.
	DaemonPath string
	// Dir is the directory for the hosts' settings and logs.
	Dir            string
	Hosts, Callers int
	Seed           uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	Log           zerolog.Logger
	// StallGrace is how long after an endpoint began to stand still statements may arrive there.
	// They run when it goes on, and are reported as LateReads and not as violations.
	StallGrace time.Duration
	// limits are the Limits of the hosts' settings.
	limits map[string]float64
	// script, if set, replaces the random faults. Each caller then uses one host and, unless
	// allDatabases is set, the strict database, and the connections between hosts can be cut.
	script       func(ctx context.Context, r *runner, random *rand.Rand)
	allDatabases bool
	// directHosts leaves out the proxies between hosts in scripted runs, so that the paths between
	// hosts cannot be cut, and calls to a host whose process does not run are refused.
	directHosts bool
	// pathsKeepBytes is paths.keepsBytes.
	pathsKeepBytes bool
}

// Report is the result of Run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Done, Refused and Other count the answers: successes, errors which guarantee that
	// the statement had no effect, and all other errors.
	Done       int `json:"done"`
	Refused    int `json:"refused"`
	Other      int `json:"other"`
	Promotions int `json:"promoted"`
	// Violations describes the guarantees that were broken; see recorder.
	Violations []string `json:"found"`
	// LateCommits describes the commits of replaced primaries; see describeLateCommits.
	LateCommits []string `json:"late_commits"`
	// LateReads describes the statements that StallGrace allows.
	LateReads []string `json:"late_reads"`
}

// String renders the report as one line, followed by a line for each violation.
func (r Report) String() string {
	out := fmt.Sprintf("seed %d: %d done, %d refused, %d other, %d promotions, %d violations, %d late commits, %d late reads", r.Seed, r.Done, r.Refused, r.Other, r.Promotions, len(r.Violations), len(r.LateCommits), len(r.LateReads))
	for _, f := range slices.Concat(r.Violations, r.LateCommits, r.LateReads) {
		out += "\n  " + f
	}
	return out
}

// runner holds the state of one run.
type runner struct {
	cfg   Config
	log   zerolog.Logger
	store *store
	group *group
	// hostsMu guards hosts, whose elements faults replace.
	hostsMu sync.Mutex
	hosts   []*host
	// replacedHosts counts the hosts that were replaced by one of another name.
	replacedHosts int
	cloud         string
	seeds         []string
	callers       []*caller
	recorder      recorder
	paths         paths
	// onOrder, if set, is called for each order of a promotion before it is carried out.
	// If it returns true, the order has already been answered.
	onOrder func(w http.ResponseWriter, order promotion) (answered bool)

	configMu      sync.Mutex
	configVersion int
	timeoutMs     int
	// teams are the teams of the configuration; nil in runs without teams.
	teams []team
	// configurations are the versions of the teams in the store.
	configurations []configuration
	disturbancesMu sync.Mutex
	disturbances   []disturbance

	activeFaults sync.WaitGroup
	closersMu    sync.Mutex
	closers      []func()
}

func newRunner(cfg Config) *runner {
	r := &runner{cfg: cfg, log: cfg.Log, store: newStore(), group: newGroup("records", groupSize), paths: newPaths()}
	r.paths.keepsBytes = cfg.pathsKeepBytes
	return r
}

// Run runs the soak test and returns its report. An error means that the test could not
// be run.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := newRunner(cfg)
	if cfg.Seed%2 == 1 && cfg.script == nil {
		r.teams = newTeams()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer r.close()
	defer cancel()
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	if err := r.start(ctx, random); err != nil {
		return Report{}, err
	}
	if !r.allHostsServe(ctx, startTimeout) {
		return Report{}, errors.New("the hosts did not serve before the first fault")
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	var callers sync.WaitGroup
	for _, c := range r.callers {
		callers.Go(func() { c.runSessions(callersCtx) })
	}
	faultsCtx, stopFaults := context.WithTimeout(ctx, cfg.FaultDuration)
	defer stopFaults()
	if cfg.script != nil {
		cfg.script(faultsCtx, r, random)
	} else {
		r.injectFaults(faultsCtx, random)
	}
	calmAgain := time.Now()
	r.endFaults()
	r.addDisturbance(calmAgain)
	if !r.allHostsServe(ctx, recoveryTimeout) {
		r.recorder.addViolation("RECOVER: a host did not serve within %s after the last fault", recoveryTimeout)
	}
	if r.teams != nil {
		r.lowerLimitInCalm(ctx, random)
	}
	stopCallers()
	callers.Wait()
	if !r.endsWithOnePrimary(ctx, recoveryTimeout) {
		r.recorder.addViolation("RECOVER: there was not one primary within %s after the last caller", recoveryTimeout)
	}
	r.recorder.stallGrace = cfg.StallGrace
	violations := append(r.recorder.check(r.group), r.checkTeams()...)
	return Report{
		Seed: cfg.Seed, Done: r.recorder.done, Refused: r.recorder.refusals, Other: r.recorder.others,
		Promotions: len(r.group.promotions), Violations: violations, LateCommits: r.lateCommits(), LateReads: r.recorder.lateReads,
	}, nil
}

// start starts the stand-ins and the hosts, and prepares the callers.
func (r *runner) start(ctx context.Context, random *rand.Rand) error {
	for _, e := range r.group.list() {
		if err := r.startEndpoint(ctx, e); err != nil {
			return err
		}
	}
	go r.repeat(ctx, replicateInterval, r.group.replicate)
	cloudAddress, err := r.serve(http.HandlerFunc(r.promote))
	if err != nil {
		return err
	}
	r.writeConfig(1000)
	for n := range r.cfg.Callers {
		r.callers = append(r.callers, &caller{
			name: fmt.Sprintf("c%d", n), index: n, runner: r, random: rand.New(rand.NewPCG(random.Uint64(), uint64(n))),
			team: r.teamOfCaller(n),
		})
	}
	r.cloud = cloudAddress
	for n := range r.cfg.Hosts {
		h, err := r.newHost(fmt.Sprintf("host-%d", n), fmt.Sprintf("zone-%d", n%3))
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	for _, h := range r.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// newHost returns a host at a new address. Each host gets its own address of the store, so that
// the store can fail for single hosts.
func (r *runner) newHost(name, zone string) (*host, error) {
	const portsPerHost = 3
	ports, err := reservePorts(portsPerHost)
	if err != nil {
		return nil, err
	}
	address, err := r.serve(r.store.handler(name))
	if err != nil {
		return nil, err
	}
	admin := ports[2]
	var p *proxy
	if r.cfg.script != nil && !r.cfg.directHosts {
		if p, err = r.startProxy(name, admin, 0); err != nil {
			return nil, err
		}
		r.atClose(p.close)
		r.store.addresses[admin] = p.address
		admin = p.address
	}
	if r.seeds == nil {
		r.seeds = []string{admin}
	}
	h, err := newHost(r.cfg.Dir, r.cfg.DaemonPath, name, zone, address, r.cloud, r.seeds, ports, r.bounds(), r.cfg.limits)
	if err != nil {
		return nil, err
	}
	h.proxy = p
	r.atClose(func() { h.log.Close() })
	r.atClose(h.kill)
	return h, nil
}

// atClose makes close call f.
func (r *runner) atClose(f func()) {
	r.closersMu.Lock()
	defer r.closersMu.Unlock()
	r.closers = append(r.closers, f)
}

// hostList returns the hosts.
func (r *runner) hostList() []*host {
	r.hostsMu.Lock()
	defer r.hostsMu.Unlock()
	return slices.Clone(r.hosts)
}

// serve serves the handler on a loopback address.
func (r *runner) serve(handler http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	r.atClose(func() { server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// close stops everything in reverse order of its start.
func (r *runner) close() {
	r.closersMu.Lock()
	defer r.closersMu.Unlock()
	for _, f := range slices.Backward(r.closers) {
		f()
	}
}

// repeat calls f at the interval until ctx ends.
func (r *runner) repeat(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		wait.Sleep(ctx, interval)
	}
}

// promote serves the request to promote an endpoint.
func (r *runner) promote(w http.ResponseWriter, request *http.Request) {
	var order struct {
		ID string `json:"Id"`
	}
	fence, errFence := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || errFence != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := request.Header.Get("Lease-Holder")
	if r.onOrder != nil && r.onOrder(w, promotion{holder: holder, fence: fence, endpoint: order.ID}) {
		r.group.promote(order.ID, holder, fence)
		return
	}
	if !r.group.promote(order.ID, holder, fence) {
		w.WriteHeader(http.StatusConflict)
	}
}

// writeConfig writes the next version of the configuration.
func (r *runner) writeConfig(timeoutMs int) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.timeoutMs = timeoutMs
	r.writeConfigLocked()
}

// writeConfigLocked is writeConfig for calling functions that hold configMu.
func (r *runner) writeConfigLocked() {
	r.configVersion++
	var routes []map[string]any
	for database, kind := range map[string]string{strictDatabase: "primary", boundedDatabase: "bounded_staleness", readYourWritesDatabase: "read_your_writes"} {
		routes = append(routes, map[string]any{
			"Host": database, "Type": kind, "TimeoutMs": r.timeoutMs, "Priority": 1, "Service": r.group.name,
			"MaxStalenessMs": maxStaleness[database].Milliseconds(), "TargetLatencyMs": 400, "Public": r.teams == nil,
		})
	}
	c := configuration{written: time.Now(), teams: slices.Clone(r.teams)}
	r.store.put("op", "config", map[string]any{
		"Version": r.configVersion, "Tenants": tenants(r.teams), "Routes": routes, "Limits": map[string]any{"IdleTxMs": 2000},
		"Services": []map[string]any{{"Name": r.group.name, "MaxConns": maxConnections, "SyncReplicas": 0}},
	})
	c.acknowledged = time.Now()
	r.configurations = append(r.configurations, c)
}

// randomHost returns a random host.
func (r *runner) randomHost(random *rand.Rand) *host {
	hosts := r.hostList()
	return hosts[random.IntN(len(hosts))]
}

// restart starts a host unless it runs. It first gives a process that is ending the time
// to exit.
func (r *runner) restart(h *host) {
	h.wait(context.Background(), restartDelay)
	if err := h.start(); err != nil {
		r.log.Error().Str("host", h.name).Err(err).Msg("host did not start")
	}
}

// endFaults ends every fault that may still be active.
func (r *runner) endFaults() {
	for _, e := range r.group.list() {
		r.group.mu.Lock()
		e.failShare = 0
		broken := e.down || e.replicationStopped || e.isolated || e.stalled()
		r.group.mu.Unlock()
		if broken {
			r.group.restart(e)
		}
		e.proxy.setFault(pathHealthy)
	}
	r.paths.restore()
	for _, h := range r.hostList() {
		r.store.setFault(h.name, storeHealthy)
		r.restart(h)
	}
}

// allHostsServe waits until every host answers a strict read. It returns false if one
// does not do so within the time.
func (r *runner) allHostsServe(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, h := range r.hostList() {
		for !servesStrictRead(h.callerAddress) {
			if ctx.Err() != nil {
				r.log.Warn().Str("host", h.name).Msg("host does not serve")
				return false
			}
			wait.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return true
}

// endsWithOnePrimary waits until there is exactly one primary, and lets the replicas follow it. Hosts
// demote a primary before they order its replacement, and a starved machine can cause one after
// the last fault; a primary that was cut off is demoted within oldPrimaryDemotionDelay. In
// between, commits whose rollback is still to come would count as lost. It returns false if the
// time has passed.
func (r *runner) endsWithOnePrimary(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for ctx.Err() == nil {
		primaries := 0
		r.group.mu.Lock()
		for _, e := range r.group.endpoints {
			if e.primary {
				primaries++
			}
		}
		led := r.group.currentPrimary() != nil
		r.group.mu.Unlock()
		if led && primaries == 1 {
			r.group.replicate()
			return true
		}
		wait.Sleep(ctx, replicateInterval)
	}
	return false
}

// servesStrictRead reports whether the host at the address answers a strict read.
func servesStrictRead(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s %s\r\nQUERY probe READ none\r\nTERMINATE\r\n", strictDatabase, probeKey); err != nil {
		return false
	}
	var row string
	for _, want := range []string{"READY", "ROW", "COMPLETE"} {
		if n, err := fmt.Fscanln(conn, &row, new(string), new(string)); n == 0 && err != nil || row != want {
			return false
		}
	}
	return true
}
