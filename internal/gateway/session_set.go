package gateway

import (
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
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

// closeAfterIdle is how long a session must be idle before a draining host ends it. It is
// several round trips to a caller: the next statement of a caller that sends one after the
// other would cross the end of the connection and get no answer.
const closeAfterIdle = 50 * time.Millisecond

// openSession is what a session does, and since when.
type openSession struct {
	activity activity
	since    time.Time
}

// mayEnd reports whether the session may be ended at time now. Once time presses, it may be
// ended whenever it is idle.
func (o openSession) mayEnd(now time.Time, pressing bool) bool {
	if pressing {
		return o.activity != busy
	}
	return o.activity == idle && now.Sub(o.since) >= closeAfterIdle
}

// sessionSet holds the open sessions. It lets a draining host end each session between
// two requests.
type sessionSet struct {
	mu   sync.Mutex
	open map[*sessionServer]openSession
	// closing ends sessions that stay idle outside a transaction. closingTransactions
	// ends all idle sessions at once, and rolls their transactions back.
	closing, closingTransactions bool
}

// set records what the session does from now on. The mutex must be held.
func (ss *sessionSet) set(s *sessionServer, a activity) {
	ss.open[s] = openSession{activity: a, since: boottime.Now()}
}

func (ss *sessionSet) add(s *sessionServer) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.set(s, busy)
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

// close ends the sessions that have been idle for closeAfterIdle. Transactions of idle
// sessions may continue, unless transactionsToo is set: they are then rolled back, and all
// idle sessions end. It must be called again until no session is left.
func (ss *sessionSet) close(transactionsToo bool) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.closing = true
	ss.closingTransactions = ss.closingTransactions || transactionsToo
	now := boottime.Now()
	for s, o := range ss.open {
		if o.mayEnd(now, ss.closingTransactions) {
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
		ss.set(s, idleInTransaction)
	case ss.closingTransactions:
		return false
	default:
		ss.set(s, idle)
	}
	return true
}

// endIdle marks the session as busy.
func (gw *Gateway) endIdle(s *sessionServer) {
	ss := &gw.sessions
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.set(s, busy)
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
	for {
		gw.sessions.close(time.Since(began) >= gw.cfg.Grace/2)
		if gw.sessions.count()+gw.relayedTransactions.count() == 0 || time.Since(began) >= gw.cfg.Grace-shutdownReserve {
			break
		}
		wait.Sleep(gw.ctx, drainPoll)
	}
	// The host's row is removed last, because a host that runs a failover only contacts
	// the hosts that are listed.
	gw.controller.unregister()
}
