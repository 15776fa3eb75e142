package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// beatInterval is how often endpoints write their entries.
	beatInterval = 1200 * time.Millisecond
	// entryExpires is the silence after which an endpoint's entry is removed.
	entryExpires = 3 * beatInterval
	// replicateInterval is how often replicas look for news.
	replicateInterval = 5 * time.Millisecond
	// startTimeout bounds the wait for the first write.
	startTimeout = 20 * time.Second
	// recovery is the time after the last fault in which every host must serve again.
	recovery = 15 * time.Second
	// endpointsInGroup is the size of the group.
	endpointsInGroup = 3
	// maxConnections is what an endpoint allows, as on the users' sites.
	maxConnections = 60
)

// Config configures a run.
type Config struct {
	// DaemonPath is the program of the hosts.
	DaemonPath string
	// Dir receives settings and logs.
	Dir            string
	Hosts, Callers int
	Seed           uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	Log           zerolog.Logger
}

// Report is the result of a run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Done       int      `json:"done"`
	Refused    int      `json:"refused"`
	Other      int      `json:"other"`
	Promoted   int      `json:"promoted"`
	Violations []string `json:"found"`
}

// String renders the report as a line, with a line for each broken promise.
func (r Report) String() string {
	out := fmt.Sprintf("seed %d: %d done, %d refused, %d other, %d promotions, %d broken promises", r.Seed, r.Done, r.Refused, r.Other, r.Promoted, len(r.Violations))
	for _, f := range r.Violations {
		out += "\n  " + f
	}
	return out
}

// runner is one soak.
type runner struct {
	cfg     Config
	log     zerolog.Logger
	store   *store
	group   *group
	paths   []*proxy
	hosts   []*host
	callers []*caller
	record  record

	configMu sync.Mutex
	version  int

	injected sync.WaitGroup
	closers  []func()
}

// Run runs the soak and returns what it found. An error means that it could not be run.
func Run(ctx context.Context, cfg Config) (Report, error) {
	r := &runner{cfg: cfg, log: cfg.Log, store: newStore(), group: newGroup("records", endpointsInGroup)}
	ctx, cancel := context.WithCancel(ctx)
	defer r.close()
	defer cancel()
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	if err := r.start(ctx, random); err != nil {
		return Report{}, err
	}
	if !r.serves(ctx, startTimeout) {
		return Report{}, errors.New("the hosts did not serve before the first fault")
	}
	working, stopWork := context.WithCancel(ctx)
	defer stopWork()
	var callers sync.WaitGroup
	for _, c := range r.callers {
		callers.Go(func() { c.work(working) })
	}
	injecting, stopFaults := context.WithTimeout(ctx, cfg.FaultDuration)
	defer stopFaults()
	r.inject(injecting, random)
	r.heal()
	if !r.serves(ctx, recovery) {
		r.record.violation("RECOVER: a host did not serve within %s after the last fault", recovery)
	}
	stopWork()
	callers.Wait()
	found := r.record.check(r.group)
	return Report{
		Seed: cfg.Seed, Done: r.record.done, Refused: r.record.refusals, Other: r.record.others,
		Promoted: len(r.group.fences), Violations: found,
	}, nil
}

// start runs the stand-ins and the hosts.
func (r *runner) start(ctx context.Context, random *rand.Rand) error {
	for _, e := range r.group.endpoints {
		l, err := listen()
		if err != nil {
			return err
		}
		r.closers = append(r.closers, func() { l.Close() })
		go serveEndpoint(r.group, e, l)
		p, err := startProxy(l.Addr().String())
		if err != nil {
			return err
		}
		r.closers = append(r.closers, p.close)
		r.paths, e.address = append(r.paths, p), p.address()
		go r.beat(ctx, e)
	}
	go r.every(ctx, replicateInterval, r.group.replicate)
	cloud, err := r.serve(http.HandlerFunc(r.promote))
	if err != nil {
		return err
	}
	r.configure(1000)
	for n := range r.cfg.Callers {
		r.callers = append(r.callers, &caller{
			name: fmt.Sprintf("c%d", n), run: r, random: rand.New(rand.NewPCG(random.Uint64(), uint64(n))),
		})
	}
	return r.startHosts(cloud)
}

// startHosts starts the hosts, each with an address of the store of its own.
func (r *runner) startHosts(cloud string) error {
	const portsEach = 3
	ports, err := reservePorts(portsEach * r.cfg.Hosts)
	if err != nil {
		return err
	}
	seeds := []string{ports[2]}
	for n := range r.cfg.Hosts {
		name := fmt.Sprintf("host-%d", n)
		address, err := r.serve(r.store.handler(name))
		if err != nil {
			return err
		}
		h, err := newHost(r.cfg.Dir, r.cfg.DaemonPath, name, fmt.Sprintf("zone-%d", n%3), address, cloud, seeds, ports[portsEach*n:portsEach*(n+1)])
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
		r.closers = append(r.closers, func() { h.log.Close() }, h.kill)
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// serve serves the handler on a loopback address.
func (r *runner) serve(handler http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	r.closers = append(r.closers, func() { server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// close stops what was started, the last first.
func (r *runner) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// every calls f until the context ends.
func (r *runner) every(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		wait.Sleep(ctx, d)
	}
}

// beat writes the endpoint's entry while it runs, and removes it when it has been silent.
func (r *runner) beat(ctx context.Context, e *endpoint) {
	var last time.Time
	r.every(ctx, beatInterval, func() {
		r.group.mu.Lock()
		down, primary, born := e.down, e.primary, e.born
		r.group.mu.Unlock()
		if down {
			if time.Since(last) > entryExpires {
				r.store.put("servers", e.id, nil)
			}
			return
		}
		last = time.Now()
		role := "replica"
		if primary {
			role = "primary"
		}
		r.store.put("servers", e.id, map[string]any{
			"Service": r.group.name, "Address": e.address, "Zone": "zone-0", "Version": "1", "Capacity": 4,
			"State": "ready", "WarmupLeftMs": 0, "Seq": last.UnixMilli(), "DbRole": role, "born": born,
		})
	})
}

// promote answers a promotion order.
func (r *runner) promote(w http.ResponseWriter, request *http.Request) {
	var order struct {
		ID string `json:"Id"`
	}
	fence, errFence := strconv.ParseUint(request.Header.Get("Fencing-Token"), 10, 64)
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil || errFence != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !r.group.promote(order.ID, request.Header.Get("Lease-Holder"), fence) {
		w.WriteHeader(http.StatusConflict)
	}
}

// configure writes the next version of the configuration.
func (r *runner) configure(timeoutMs int) {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	r.version++
	var routes []map[string]any
	for database, kind := range map[string]string{strictDatabase: "primary", boundedDatabase: "bounded_staleness", ownDatabase: "read_your_writes"} {
		routes = append(routes, map[string]any{
			"Host": database, "Type": kind, "TimeoutMs": timeoutMs, "Priority": 1, "Service": r.group.name,
			"MaxStalenessMs": staleness[database].Milliseconds(), "TargetLatencyMs": 400,
		})
	}
	r.store.put("op", "config", map[string]any{
		"Version": r.version, "Routes": routes, "Limits": map[string]any{"IdleTxMs": 2000},
		"Services": []map[string]any{{"Name": r.group.name, "MaxConns": maxConnections, "SyncReplicas": 0}},
	})
}

// anyHost picks a host.
func (r *runner) anyHost(random *rand.Rand) *host { return r.hosts[random.IntN(len(r.hosts))] }

// restart starts a host that has ended.
func (r *runner) restart(h *host) {
	h.wait(context.Background(), restartDelay)
	if err := h.start(); err != nil {
		r.log.Error().Str("host", h.name).Err(err).Msg("host did not start")
	}
}

// heal ends every fault.
func (r *runner) heal() {
	for _, e := range r.group.endpoints {
		r.group.mu.Lock()
		broken := e.down || e.deaf
		r.group.mu.Unlock()
		if broken {
			r.group.restart(e)
		}
	}
	for _, p := range r.paths {
		p.setFault(pathUp)
	}
	for _, h := range r.hosts {
		r.store.setFault(h.name, storeUp)
		r.restart(h)
	}
}

// serves reports whether every host answers a strict read in time.
func (r *runner) serves(ctx context.Context, within time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for _, h := range r.hosts {
		for !serves(h.front) {
			if ctx.Err() != nil {
				r.log.Warn().Str("host", h.name).Msg("host does not serve")
				return false
			}
			wait.Sleep(ctx, 50*time.Millisecond)
		}
	}
	return true
}

// serves reports whether a strict read through the address succeeds.
func serves(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	if _, err := fmt.Fprintf(conn, "STARTUP %s probe\r\nQUERY probe READ none\r\nTERMINATE\r\n", strictDatabase); err != nil {
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
