package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stopGrace is the time from SIGTERM to SIGKILL, as on the users' sites.
const stopGrace = 6 * time.Second

// host is one process of the daemon.
type host struct {
	name     string
	daemon   string
	settings string
	front    string
	log      *os.File

	mu      sync.Mutex
	process *os.Process
	ended   chan struct{}
}

const (
	// lowestPort and portLimit bound the ports of hosts. They lie below those that the
	// system gives to connections and to listeners without a port of their own, which
	// could take a reserved port before its host starts.
	lowestPort = 10000
	portLimit  = 32768
	// portTries bounds the search for a free port.
	portTries = 1000
)

// reservePorts returns loopback addresses that were free a moment ago.
func reservePorts(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries == portTries {
			return nil, errors.Newf("%d of %d ports are free after %d tries", len(out), n, tries)
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portLimit-lowestPort)))
		if err != nil {
			// Somebody else has the port.
			continue
		}
		defer l.Close()
		out = append(out, l.Addr().String())
	}
	return out, nil
}

// newHost writes the settings of a host and opens its log.
func newHost(dir, daemon, name, zone, store, cloud string, seeds []string, ports []string) (*host, error) {
	ip, _, err := net.SplitHostPort(ports[0])
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(map[string]any{
		"NodeName": name, "Zone": zone, "Ip": ip, "Seeds": seeds,
		"Listen":   map[string]string{"Front": ports[0], "Readiness": ports[1], "Admin": ports[2]},
		"Bounds":   map[string]any{"GraceS": stopGrace.Seconds()},
		"platform": map[string]string{"Address": store}, "Cloud": map[string]string{"Address": cloud},
	})
	if err != nil {
		return nil, err
	}
	h := &host{name: name, daemon: daemon, settings: filepath.Join(dir, name+".json"), front: ports[0]}
	if err := os.WriteFile(h.settings, body, 0o600); err != nil {
		return nil, err
	}
	h.log, err = os.Create(filepath.Join(dir, name+".log"))
	return h, err
}

// start runs the process unless it runs already.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		return nil
	}
	command := exec.Command(h.daemon, "platform")
	command.Env = append(os.Environ(), "BERYLTRESTLE_SETTINGS="+h.settings)
	command.Stdout, command.Stderr = h.log, h.log
	if err := command.Start(); err != nil {
		return err
	}
	h.process, h.ended = command.Process, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait() // The way a process ends is part of the faults.
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(ended)
	}(h.ended)
	return nil
}

// signal sends a signal to the process, if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(s) // It may have ended just now.
	}
}

// wait waits until the process has ended; it returns false after the time.
func (h *host) wait(ctx context.Context, d time.Duration) bool {
	h.mu.Lock()
	running, ended := h.process != nil, h.ended
	h.mu.Unlock()
	if !running {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// stop ends the process in order, or by force after the grace. It reports whether force
// was needed.
func (h *host) stop(ctx context.Context) (forced bool) {
	h.signal(syscall.SIGCONT)
	h.signal(syscall.SIGTERM)
	if h.wait(ctx, stopGrace) {
		return false
	}
	h.kill()
	return true
}

// kill ends the process at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.wait(context.Background(), stopGrace)
}
