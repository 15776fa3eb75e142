// Command stage2 runs the cases of the second review: it starts hosts of the system as separate
// processes against stand-ins of the platform's store, its promotion service, one database and the
// requesters, brings one disruption about, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	exitHeld, exitBroken, exitFailed = 0, 1, 2
	serviceName                      = "records"
	startTimeout                     = 20 * time.Second
	defaultMaxConns                  = 60
)

// stage is one run.
type stage struct {
	record   *record
	store    *store
	db       *database
	fleet    *fleet
	disrupts bool
	stop     chan struct{}
	// closeStore closes the address at which the hosts found the store when they started.
	closeStore func()
	// onOrder is called with each order of a promotion.
	onOrder func(id, holder, fence string)
	// hold, if set, returns for how long an order waits at the platform before it is carried out.
	hold func() time.Duration
}

// scenario is one case.
type scenario struct {
	hosts, servers, syncReplicas int
	// maxConns is MaxConns; 0 means defaultMaxConns.
	maxConns int
	run      func(*stage) error
}

var scenarios = map[string]scenario{
	"power-loss":    {hosts: 5, servers: 3, syncReplicas: 1, run: powerLoss},
	"grey":          {hosts: 5, servers: 3, run: grey},
	"explore":       {hosts: 5, servers: 3, run: explore},
	"explore-relay": {hosts: 8, servers: 3, maxConns: 18, run: explore},
	"explore-sync":  {hosts: 5, servers: 3, syncReplicas: 1, run: explore},
	"moved-store":   {hosts: 5, servers: 3, run: movedStore},
	"late-order":    {hosts: 5, servers: 3, run: lateOrder},
	"majority":      {hosts: 3, servers: 3, run: majority},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("scenario", "", "name of the scenario")
	daemon := flag.String("daemon", "target/beryltrestled", "path of the daemon")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	keep := flag.String("logs", "", "folder for settings and logs; a temporary one if empty")
	flag.StringVar(&scenarioSeed, "seed", "1", "seed")
	flag.Parse()
	sc, ok := scenarios[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown scenario %q\n", *name)
		return exitFailed
	}
	broken, err := play(sc, *daemon, *path, *keep, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitFailed
	case broken > 0:
		fmt.Printf("the rule was broken %d times\n", broken)
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

// play runs the scenario and returns how often the rule was broken.
func play(sc scenario, daemon, path, dir string, disrupts bool) (int, error) {
	rec, err := newRecord(path)
	if err != nil {
		return 0, err
	}
	defer rec.close()
	if dir == "" {
		if dir, err = os.MkdirTemp("", "stage2-"); err != nil {
			return 0, err
		}
		defer os.RemoveAll(dir)
	}
	s := &stage{record: rec, store: newStore(), disrupts: disrupts, stop: make(chan struct{})}
	storeAddress, closeStore, err := serveUntil(s.store)
	if err != nil {
		return 0, err
	}
	cloudAddress, err := serve(http.HandlerFunc(s.serveCloud))
	if err != nil {
		return 0, err
	}
	s.closeStore = closeStore
	s.store.put("op", "config", config(7, sc.syncReplicas, sc.maxConns))
	if s.db, err = newDatabase(serviceName, sc.servers, sc.syncReplicas, s.store, rec); err != nil {
		return 0, err
	}
	s.fleet = &fleet{dir: dir, daemon: daemon, store: storeAddress, cloud: cloudAddress, record: rec, bounds: map[string]any{
		"SeedLagS": 3, "AddrReuseS": 2, "StabilityMs": 4000, "AckMs": 5000, "CatchupS": 4, "DrainMs": 7000, "GraceS": grace.Seconds(),
		"LossSlackMs": 200, "ConfigApplyMs": 3000, "DowngradeMs": 250, "MaxSkewMs": 12000, "RecoveryS": recovery.Seconds(), "RequireFencing": false, "ThawMs": 300,
	}}
	defer s.fleet.close()
	go s.fleet.closeOnSignal()
	for n := range sc.hosts {
		if _, err := s.fleet.add(fmt.Sprintf("front-%d", n), fmt.Sprintf("zone-%d", n%3)); err != nil {
			return 0, err
		}
	}
	if err := s.fleet.awaitReady(startTimeout); err != nil {
		return 0, err
	}
	err = sc.run(s)
	return rec.violations(), err
}

// serve serves the handler on a loopback address.
func serve(h http.Handler) (string, error) {
	address, _, err := serveUntil(h)
	return address, err
}

// serveUntil serves the handler on a loopback address until the returned function is called.
func serveUntil(h http.Handler) (address string, end func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }() // Returns once the server is closed.
	return l.Addr().String(), func() { server.Close() }, nil
}

// serveCloud serves the promotion call.
func (s *stage) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/promote" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	var order struct {
		Service string
		ID      string `json:"Id"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Service != s.db.name {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, fence := r.Header.Get("Lease-Holder"), r.Header.Get("Fencing-Token")
	s.record.line("order to promote %s by %s with fence %s", order.ID, holder, fence)
	if s.onOrder != nil {
		s.onOrder(order.ID, holder, fence)
	}
	if s.hold != nil {
		if wait := s.hold(); wait > 0 {
			s.record.line("the platform carries the order of %s with fence %s out in %s", holder, fence, wait)
			time.Sleep(wait)
		}
	}
	if !s.db.promote(order.ID, holder, fence) {
		w.WriteHeader(http.StatusConflict)
	}
}

// Names of the databases that requesters connect to.
const (
	primaryRoute = "bookings"
	boundedRoute = "lookups"
	sessionRoute = "ledger"
)

// config is a version of the operator's configuration, without the routes of the given names.
func config(version, syncReplicas, maxConns int, dropped ...string) map[string]any {
	route := func(host, kind string, timeoutMs, staleMs int) map[string]any {
		r := map[string]any{"Name": "r-" + host, "Host": host, "Prefix": "/", "Type": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": 200, "Priority": 1, "Service": serviceName, "Attempts": 2}
		if staleMs > 0 {
			r["MaxStalenessMs"] = staleMs
		}
		return r
	}
	routes := []any{route(primaryRoute, "primary", 800, 0), route(boundedRoute, "bounded_staleness", 1500, 1500), route(sessionRoute, "read_your_writes", 800, 2500)}
	routes = slices.DeleteFunc(routes, func(r any) bool { return slices.Contains(dropped, r.(map[string]any)["Host"].(string)) })
	return map[string]any{
		"Version":  version,
		"Routes":   routes,
		"Services": []any{map[string]any{"Name": serviceName, "HealthPath": "/health", "MaxConns": cmp.Or(maxConns, defaultMaxConns), "SyncReplicas": syncReplicas}},
		"Limits":   map[string]any{"IdleTxMs": 3000},
	}
}
