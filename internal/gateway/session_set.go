package gateway

import (
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// sessionSet holds the open sessions, for a stop that interrupts none of their
// requests.
type sessionSet struct {
	mu   sync.Mutex
	open map[*sessionServer]bool
	// closing sessions end when they are idle outside a transaction; expelling ends
	// open transactions as well.
	closing, expelling bool
}

func (ss *sessionSet) add(s *sessionServer) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.open[s] = false
}

func (ss *sessionSet) remove(s *sessionServer) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	delete(ss.open, s)
}

// count returns the number of open sessions.
func (ss *sessionSet) count() int {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return len(ss.open)
}

// close ends the sessions that are idle now, and the others as they become idle.
func (ss *sessionSet) close(expel bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.closing = true
	ss.expelling = ss.expelling || expel
	for s, waiting := range ss.open {
		if waiting {
			s.caller.Interrupt()
		}
	}
}

// waitBegins marks the session as idle. It returns false if the session should
// end instead.
func (gw *Gateway) waitBegins(s *sessionServer) bool {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closing && s.state.Transaction() == nil {
		return false
	}
	ss.open[s] = true
	return true
}

// waitEnds marks the session as busy.
func (gw *Gateway) waitEnds(s *sessionServer) {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.open[s] = false
}

// mayClose reports whether an idle session that was interrupted should end.
func (gw *Gateway) mayClose(s *sessionServer) bool {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.closing && (s.state.Transaction() == nil || ss.expelling && s.state.Transaction().Failed)
}

const (
	// rotationTime is how long callers are still sent here after the host reported
	// that it is not ready: the balancer asks once a second and needs two misses.
	rotationTime = 2300 * time.Millisecond
	// stopReserve is the part of the grace that is kept for the end of the process.
	stopReserve = 1000 * time.Millisecond
	// drainPoll is how often a stopping host looks whether its sessions have ended.
	drainPoll = 20 * time.Millisecond
)

// Drain serves on until the balancer has noticed, then ends idle sessions, and
// open transactions after half of the grace.
func (gw *Gateway) Drain() {
	began := time.Now()
	gw.drains.Store(true)
	gw.control.leave()
	wait.Sleep(gw.ctx, rotationTime)
	gw.sessions.close(false)
	for gw.sessions.count() > 0 && time.Since(began) < gw.cfg.Grace-stopReserve {
		if time.Since(began) >= gw.cfg.Grace/2 {
			gw.sessions.close(true)
		}
		wait.Sleep(gw.ctx, drainPoll)
	}
	// The row goes last: a host that replaces a primary asks the listed hosts only.
	gw.control.unregister()
}
