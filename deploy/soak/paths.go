package soak

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// pathPollInterval is how often held bytes are checked for a path.
const pathPollInterval = 2 * time.Millisecond

// paths holds the directions between hosts, and between hosts and endpoints, in which no
// bytes pass. The proxies hold them until the path is restored.
type paths struct {
	mu   sync.Mutex
	cuts map[[2]string]bool
	// rejecting holds the directions in which the proxies close the connections instead.
	rejecting map[[2]string]bool
	// unreachable holds the parts that no bytes reach or leave, with the times since when.
	unreachable map[string]time.Time
	// keepsBytes makes the proxies act as an intermediary that has acknowledged what a cut holds, and
	// delivers it even if the sender has reset the connection since.
	keepsBytes bool
}

// newPaths returns paths that let all bytes pass.
func newPaths() paths {
	return paths{cuts: make(map[[2]string]bool), rejecting: make(map[[2]string]bool), unreachable: make(map[string]time.Time)}
}

// cut cuts the paths between every part in a and every part in b, in both directions.
func (p *paths) cut(a, b []string) {
	p.cutOneWay(a, b)
	p.cutOneWay(b, a)
}

// cutOneWay cuts the paths from every part in from to every part in to.
func (p *paths) cutOneWay(from, to []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			p.cuts[[2]string{a, b}] = true
		}
	}
}

// reject closes the connections from every part in from to every part in to as soon as they are
// used, as a network partition does that rejects packets.
func (p *paths) reject(from, to []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			p.rejecting[[2]string{a, b}] = true
		}
	}
}

// rejects reports whether connections from one part to the other are closed.
func (p *paths) rejects(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejecting[[2]string{from, to}]
}

// mend restores the paths between every part in a and every part in b, in both directions.
func (p *paths) mend(a, b []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range a {
		for _, y := range b {
			delete(p.cuts, [2]string{x, y})
			delete(p.cuts, [2]string{y, x})
		}
	}
}

// setUnreachable cuts all paths from and to a part, or ends this cut. Unlike cut it needs no
// names of hosts.
func (p *paths) setUnreachable(part string, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if delete(p.unreachable, part); unreachable {
		p.unreachable[part] = time.Now()
	}
}

// justCut reports whether a part at the end of the path became unreachable less than ProofGrace ago.
func (p *paths) justCut(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.unreachable[from]) < ProofGrace || time.Since(p.unreachable[to]) < ProofGrace
}

// restore restores all paths.
func (p *paths) restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.cuts)
	clear(p.rejecting)
	clear(p.unreachable)
}

// isCut reports whether no bytes pass from one part to the other.
func (p *paths) isCut(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cuts[[2]string{from, to}] || !p.unreachable[from].IsZero() || !p.unreachable[to].IsZero()
}

// await waits until bytes pass from one part to the other.
func (p *paths) await(from, to string) {
	for p.isCut(from, to) {
		time.Sleep(pathPollInterval)
	}
}

// source returns the name of the host whose process opened the accepted connection; empty
// if there is none, as the process has ended since.
func (r *runner) source(conn net.Conn) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	ends := fmt.Sprintf("%04X 0100007F:%04X", conn.RemoteAddr().(*net.TCPAddr).Port, conn.LocalAddr().(*net.TCPAddr).Port)
	socket := ""
	for line := range strings.Lines(string(table)) {
		f := strings.Fields(line)
		if len(f) > 9 && strings.HasSuffix(f[1]+" "+f[2], ends) {
			socket = "socket:[" + f[9] + "]"
		}
	}
	for _, h := range r.hostList() {
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", h.processID()))
		for _, file := range files {
			if name, err := os.Readlink(file); err == nil && name == socket {
				return h.name
			}
		}
	}
	return ""
}
