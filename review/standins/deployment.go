package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
)

// Databases of the configuration, and the age of the data that they may return.
const (
	primaryDatabase = "strict"
	boundedDatabase = "bounded"
	ownDatabase     = "own"

	boundedStaleness = 1500 * time.Millisecond
	ownStaleness     = 2500 * time.Millisecond
)

// startTimeout limits the time until every daemon serves.
const startTimeout = 40 * time.Second

// deployment is a small deployment: stand-ins of the platform and the servers in this
// process, and daemons as processes of their own.
type deployment struct {
	dir     string
	rec     *record
	net     *network
	store   *store
	group   *group
	daemons map[string]*daemon
	history *history

	storeAddress, cloudAddress string
	seeds                      []string
	stop                       chan struct{}
}

// newDeployment starts the stand-ins.
func newDeployment(rec *record, syncReplicas int, serverZones []string) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, rec: rec, net: newNetwork(), store: newStore(rec), daemons: make(map[string]*daemon), history: &history{}, stop: make(chan struct{})}
	if d.storeAddress, err = d.serve("store", d.store.handler()); err != nil {
		return nil, err
	}
	if d.group, err = startGroup(d.net, d.store, rec, syncReplicas, serverZones); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", d.promote)
	if d.cloudAddress, err = d.serve("cloud", mux); err != nil {
		return nil, err
	}
	d.writeConfig(syncReplicas)
	return d, nil
}

// serve serves a handler behind a proxy and returns the proxy's address.
func (d *deployment) serve(part string, handler http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(l) }()
	return d.net.proxy(part, l.Addr().String(), false)
}

func (d *deployment) promote(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, Id string }
	fence, errFence := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || errFence != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !d.group.promote(promotion{server: order.Id, holder: r.Header.Get("Lease-Holder"), fence: fence}) {
		w.WriteHeader(http.StatusConflict)
	}
}

// writeConfig writes the operator's configuration.
func (d *deployment) writeConfig(syncReplicas int) {
	route := func(host, kind string, staleness time.Duration) map[string]any {
		return map[string]any{
			"Host": host, "Type": kind, "TimeoutMs": 1000, "Priority": 1, "Service": d.group.service,
			"MaxStalenessMs": staleness.Milliseconds(), "TargetLatencyMs": 400,
		}
	}
	d.store.put("op", "config", map[string]any{
		"Version": 7,
		"Routes": []any{
			route(primaryDatabase, "primary", 0), route(boundedDatabase, "bounded_staleness", boundedStaleness),
			route(ownDatabase, "read_your_writes", ownStaleness),
		},
		"Services": []any{map[string]any{"Name": d.group.service, "MaxConns": maxConns, "SyncReplicas": syncReplicas}},
		"Limits":   map[string]any{"IdleTxMs": 3000},
	})
}

// add starts a daemon. If its inbound paths may be cut, other daemons find it at the address
// of a proxy.
func (d *deployment) add(name, zone string, proxied bool) (*daemon, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	if proxied {
		address, err := d.net.proxy(name, addresses[2], false)
		if err != nil {
			return nil, err
		}
		d.store.mu.Lock()
		d.store.addresses[addresses[2]] = address
		d.store.mu.Unlock()
	}
	daemon, err := newDaemon(d.dir, name, zone, addresses, d.seeds, d.storeAddress, d.cloudAddress)
	if err != nil {
		return nil, err
	}
	d.daemons[name] = daemon
	return daemon, daemon.start(d.net)
}

// awaitServing waits until every daemon answers reads of all databases.
func (d *deployment) awaitServing() error {
	deadline := time.Now().Add(startTimeout)
	for _, daemon := range d.daemons {
		for !d.serves(daemon) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not serve", daemon.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (d *deployment) serves(daemon *daemon) bool {
	for _, database := range []string{primaryDatabase, boundedDatabase, ownDatabase} {
		s, err := openSession(d.rec, daemon.front, database, "probe")
		if err != nil {
			return false
		}
		out, err := s.query(newID("probe"), "READ none")
		s.conn.Close()
		if err != nil || out.code != "" {
			return false
		}
	}
	return true
}

// client runs a client against a daemon until the deployment ends.
func (d *deployment) client(daemon *daemon, database, name string, pause time.Duration, operate func(*session) bool) {
	go load(d.rec, daemon.front, database, name, pause, d.stop, operate)
}

// end ends all processes and removes their files.
func (d *deployment) end() {
	close(d.stop)
	for _, daemon := range d.daemons {
		daemon.kill(d.net)
		daemon.log.Close()
	}
	close(d.group.done)
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(d.dir, keep)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// waitFor waits until the condition holds. It returns false after the timeout.
func waitFor(timeout time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(5 * time.Millisecond)
	}
	return true
}
