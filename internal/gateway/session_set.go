package gateway

import (
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// activity is what a session does.
type activity uint8

const (
	// busy sessions handle a statement.
	busy activity = iota
	// idle sessions wait for a statement outside a transaction.
	idle
	// idleInTransaction sessions wait for the next statement of their transaction.
	idleInTransaction
)

// sessionSet holds the open sessions. It lets a draining host end each session between
// two requests.
type sessionSet struct {
	mu   sync.Mutex
	open map[*sessionServer]activity
	// closing ends sessions that are idle outside a transaction. closingTransactions
	// also ends those that are idle in a transaction.
	closing, closingTransactions bool
}

func (ss *sessionSet) add(s *sessionServer) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.open[s] = busy
}

// isClosing reports whether sessions are being ended.
func (ss *sessionSet) isClosing() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.closing
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

// close ends the idle sessions now and the others when they become idle. Transactions of
// idle sessions may continue, unless transactionsToo is set: they are then rolled back.
func (ss *sessionSet) close(transactionsToo bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.closing = true
	ss.closingTransactions = ss.closingTransactions || transactionsToo
	for s, a := range ss.open {
		if a == idle || a == idleInTransaction && ss.closingTransactions {
			s.caller.Interrupt()
		}
	}
}

// beginIdle marks the session as idle. It returns false if the session should end
// instead.
func (gw *Gateway) beginIdle(s *sessionServer) bool {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	switch {
	case s.state.Transaction() != nil:
		ss.open[s] = idleInTransaction
	case ss.closing:
		return false
	default:
		ss.open[s] = idle
	}
	return true
}

// endIdle marks the session as busy.
func (gw *Gateway) endIdle(s *sessionServer) {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.open[s] = busy
}

// shouldClose reports whether an idle session that was interrupted should end.
func (gw *Gateway) shouldClose(s *sessionServer) bool {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.closing && (s.state.Transaction() == nil || ss.closingTransactions && s.state.Transaction().Failed)
}

const (
	// balancerDelay is how long the load balancer keeps sending new sessions after the
	// host has reported that it is not ready: it checks readiness once a second and
	// needs two failures.
	balancerDelay = 2300 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for the end of the
	// process.
	shutdownReserve = 1000 * time.Millisecond
	// drainPoll is how often a draining host checks whether its sessions have ended.
	drainPoll = 20 * time.Millisecond
)

// Drain stops the host in order: it serves until the load balancer has stopped sending
// sessions, then ends idle sessions, and after half of the grace period also sessions
// with a transaction. What other hosts relay through this one is finished as well.
func (gw *Gateway) Drain() {
	began := time.Now()
	gw.draining.Store(true)
	gw.controller.announceLeaving()
	wait.Sleep(gw.ctx, balancerDelay)
	gw.sessions.close(false)
	for gw.sessions.count()+gw.relayedTransactions.count() > 0 && time.Since(began) < gw.cfg.Grace-shutdownReserve {
		if time.Since(began) >= gw.cfg.Grace/2 {
			gw.sessions.close(true)
		}
		wait.Sleep(gw.ctx, drainPoll)
	}
	// The host's row is removed last, because a host that runs a failover only contacts
	// the hosts that are listed.
	gw.controller.unregister()
}
