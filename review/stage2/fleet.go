package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// minPort and portLimit bound the ports of hosts. The kernel gives out higher ones to
	// connections, which could take the port of a host before it starts.
	minPort, portLimit = 11000, 32000
)

// host is a process of the system.
type host struct {
	name             string
	settings         string
	front, readiness string
	admin            string
	// fields are those of the settings file.
	fields map[string]any

	mu      sync.Mutex
	process *os.Process
	done    chan struct{}
	// stopped is true while the host shall not run.
	stopped bool
}

// restartDelay is how long the platform waits before it starts a process again that has ended by
// itself.
const restartDelay = 300 * time.Millisecond

// fleet holds the hosts and what they need.
type fleet struct {
	dir, daemon string
	store       string
	cloud       string
	record      *record
	bounds      map[string]any

	mu    sync.Mutex
	hosts []*host
	seeds []string
	// closed is true once no process may be started any more.
	closed bool
}

// loopback returns the loopback address of this run's hosts, so that runs do not share ports.
func loopback() string {
	pid := os.Getpid()
	return net.IPv4(127, byte(1+pid>>16&0x7f), byte(pid>>8), byte(pid)).String()
}

// ports holds the addresses that freePort has returned.
var ports sync.Map

// freePort returns an address whose port was free and which it has not returned before.
func freePort() (string, error) {
	var err error
	for range 1000 {
		address := net.JoinHostPort(loopback(), strconv.Itoa(minPort+rand.IntN(portLimit-minPort)))
		var l net.Listener
		if l, err = net.Listen("tcp", address); err != nil {
			continue
		}
		l.Close()
		if _, taken := ports.LoadOrStore(address, true); !taken {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port was found: %w", err)
}

// add adds a host of the zone at new addresses and starts it.
func (f *fleet) add(name, zone string) (*host, error) {
	var own [3]string
	for i := range own {
		var err error
		if own[i], err = freePort(); err != nil {
			return nil, err
		}
	}
	h := &host{name: name, front: own[0], readiness: own[1], admin: own[2], settings: filepath.Join(f.dir, name+".json")}
	f.mu.Lock()
	if len(f.seeds) < 3 {
		f.seeds = append(f.seeds, h.admin)
	}
	seeds := f.seeds
	f.hosts = append(f.hosts, h)
	f.mu.Unlock()
	h.fields = map[string]any{
		"NodeName": name, "Role": "gateway", "Class": "front", "Serves": []string{"front", "control"}, "Ip": loopback(), "Zone": zone,
		"Listen": map[string]string{"Front": h.front, "Readiness": h.readiness, "Admin": h.admin}, "Seeds": seeds,
		"Limits": map[string]any{"CpuShare": 0.272, "Cpus": 1, "MemoryMb": 206, "MaxFds": 3010}, "DataDir": nil,
		"HeartbeatMs": heartbeat.Milliseconds(), "Contracts": []string{"base", "drain", "config", "cost", "recover", "sql", "platform"},
		"Bounds": f.bounds, "platform": map[string]any{"Address": f.store, "form": "table"}, "Cloud": map[string]any{"Address": f.cloud},
	}
	if err := h.writeSettings(); err != nil {
		return nil, err
	}
	return h, f.start(h)
}

// writeSettings replaces the host's settings file.
func (h *host) writeSettings() error {
	body, err := json.Marshal(h.fields)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings+".new", body, 0o600); err != nil {
		return err
	}
	return os.Rename(h.settings+".new", h.settings)
}

// hupShare is the share of the hosts that get SIGHUP when the settings files of all hosts change.
const hupShare = 0.6

// moveStore puts another address of the store into the settings of all hosts, and sends SIGHUP to a
// share of them.
func (f *fleet) moveStore(address string) error {
	f.store = address
	hosts := f.list()
	for i, h := range hosts {
		h.fields["platform"] = map[string]any{"Address": address, "form": "table"}
		if err := h.writeSettings(); err != nil {
			return err
		}
		f.record.line("settings of host %s: the store is at %s", h.name, address)
		if float64(i) < hupShare*float64(len(hosts)) {
			h.signal(syscall.SIGHUP)
			f.record.line("SIGHUP to host %s", h.name)
		}
	}
	return nil
}

// errClosed means that the stage has ended.
var errClosed = errors.New("the stage has ended")

// start starts the host's process unless it runs.
func (f *fleet) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	f.mu.Lock()
	closed := f.closed
	f.mu.Unlock()
	if closed {
		return errClosed
	}
	if h.done != nil {
		select {
		case <-h.done:
		default:
			// The process runs.
			return nil
		}
	}
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(f.daemon, "platform")
	command.Env = append(os.Environ(), "BERYLTRESTLE_SETTINGS="+h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	f.record.line("start of host %s", h.name)
	done := make(chan struct{})
	h.process, h.done = command.Process, done
	h.stopped = false
	go func() {
		err := command.Wait()
		f.record.line("end of host %s: %v", h.name, err)
		close(done)
		time.Sleep(restartDelay)
		h.mu.Lock()
		again := !h.stopped && h.done == done
		h.mu.Unlock()
		if again {
			_ = f.start(h) // Without a process the case cannot go on, and says so.
		}
	}()
	return nil
}

// signal sends the signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Signal(s) // Fails if the process has ended.
	}
}

// kill ends the host's process by SIGKILL and waits for its end.
func (h *host) kill() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	h.signal(syscall.SIGKILL)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	if done != nil {
		<-done
	}
}

// list returns the hosts.
func (f *fleet) list() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*host(nil), f.hosts...)
}

// remove forgets a host for good.
func (f *fleet) remove(h *host) {
	h.kill()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.hosts {
		if x == h {
			f.hosts = append(f.hosts[:i:i], f.hosts[i+1:]...)
		}
	}
}

// ready reports whether the host answers the readiness question with 200.
func (h *host) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.readiness + "/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady(within time.Duration) error {
	deadline := time.Now().Add(within)
	for _, h := range f.list() {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("host %s was not ready within %s", h.name, within)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, h := range f.list() {
		h.kill()
	}
}

// closeOnSignal ends all processes, and then this one, if it is told to end.
func (f *fleet) closeOnSignal() {
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, os.Interrupt, syscall.SIGTERM)
	<-caught
	f.close()
	os.Exit(exitFailed)
}
