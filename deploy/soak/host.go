package soak

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// stopGrace is the time between SIGTERM and SIGKILL, as at the users' sites.
const stopGrace = 6 * time.Second

// host is one host, whose daemon runs as a process.
type host struct {
	name, zone    string
	daemonPath    string
	settingsFile  string
	callerAddress string
	log           *os.File
	// proxy carries the calls of other hosts in scripted runs; nil in others.
	proxy *proxy

	mu      sync.Mutex
	process *os.Process
	exited  chan struct{}
	// pauses counts how often the process was paused.
	pauses int
	// replaced hosts are not started again.
	replaced bool
}

const (
	// minPort and portLimit bound the ports of hosts. The range lies below the ephemeral
	// ports, which outgoing connections and listeners on port 0 get: those could take a
	// reserved port before its host starts.
	minPort   = 10000
	portLimit = 32768
	// maxPortTries bounds the search for a free port.
	maxPortTries = 1000
)

// hostIP is the loopback address of the hosts of this process's runs. If all runs shared one
// address, the host of another run could take the port of a host that is being restarted, and
// would then serve the callers and answer the hosts of both (seed 5002).
func hostIP() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16&0x7f), byte(pid>>8), byte(pid)).String()
}

// reservedPorts holds the addresses that reservePorts has returned. A host listens some time after that,
// so that the next host could get one of its ports (seed 48004).
var reservedPorts sync.Map

// reservePorts returns n addresses of hostIP whose ports were free when it checked, and which it has not
// returned before.
func reservePorts(n int) ([]string, error) {
	var out []string
	for tries := 0; len(out) < n; tries++ {
		if tries == maxPortTries {
			return nil, errors.Newf("found only %d of %d free ports after %d tries", len(out), n, tries)
		}
		l, err := net.Listen("tcp", net.JoinHostPort(hostIP(), strconv.Itoa(minPort+rand.IntN(portLimit-minPort))))
		if err != nil {
			// The port is in use.
			continue
		}
		defer l.Close()
		address := l.Addr().String()
		if _, reserved := reservedPorts.LoadOrStore(address, true); !reserved {
			out = append(out, address)
		}
	}
	return out, nil
}

// newHost writes the settings file of a host and creates its log file.
func newHost(dir, daemonPath, name, zone, storeAddress, cloudAddress string, seeds, ports []string, bounds map[string]any, limits map[string]float64) (*host, error) {
	ip, _, err := net.SplitHostPort(ports[0])
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(map[string]any{
		"NodeName": name, "Zone": zone, "Ip": ip, "Seeds": seeds,
		"Listen": map[string]string{"Front": ports[0], "Readiness": ports[1], "Admin": ports[2]},
		"Bounds": bounds, "Limits": limits,
		"platform": map[string]string{"Address": storeAddress}, "Cloud": map[string]string{"Address": cloudAddress},
	})
	if err != nil {
		return nil, err
	}
	h := &host{name: name, zone: zone, daemonPath: daemonPath, settingsFile: filepath.Join(dir, name+".json"), callerAddress: ports[0]}
	if err := os.WriteFile(h.settingsFile, body, 0o600); err != nil {
		return nil, err
	}
	// A host at another address may have the name of the one that it replaces.
	h.log, err = os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	return h, err
}

// start starts the process unless it already runs.
func (h *host) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil || h.replaced {
		return nil
	}
	command := exec.Command(h.daemonPath, "platform")
	command.Env = append(os.Environ(), "BERYLTRESTLE_SETTINGS="+h.settingsFile)
	command.Stdout, command.Stderr = h.log, h.log
	if err := command.Start(); err != nil {
		return err
	}
	h.process, h.exited = command.Process, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait() // Injected faults make processes end with errors.
		h.mu.Lock()
		h.process = nil
		h.mu.Unlock()
		close(ended)
	}(h.exited)
	return nil
}

// processID returns the ID of the process; 0 if it does not run.
func (h *host) processID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	return h.process.Pid
}

// signal sends a signal to the process if it runs.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(s) // Fails if the process has just ended.
	}
}

// wait waits until the process has ended. It returns false if it has not done so before
// the timeout.
func (h *host) wait(ctx context.Context, timeout time.Duration) bool {
	h.mu.Lock()
	running, ended := h.process != nil, h.exited
	h.mu.Unlock()
	if !running {
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// stop ends the process by SIGTERM, or by SIGKILL after stopGrace. It reports whether
// SIGKILL was needed although the process was not paused in between.
func (h *host) stop(ctx context.Context) (forced bool) {
	h.signal(syscall.SIGCONT)
	before := h.pauseCount()
	h.signal(syscall.SIGTERM)
	if h.wait(ctx, stopGrace) {
		return false
	}
	h.kill()
	return h.pauseCount() == before
}

// pause stops the process for the given time.
func (h *host) pause(ctx context.Context, duration time.Duration) {
	h.mu.Lock()
	h.pauses++
	h.mu.Unlock()
	h.signal(syscall.SIGSTOP)
	wait.Sleep(ctx, duration)
	h.signal(syscall.SIGCONT)
}

// pauseCount returns how often the process was paused.
func (h *host) pauseCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pauses
}

// replace keeps the host from being started again. It returns false if it was replaced before.
func (h *host) replace() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.replaced
	h.replaced = true
	return !before
}

// kill ends the process by SIGKILL.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	h.wait(context.Background(), stopGrace)
}
