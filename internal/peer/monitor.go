package peer

import (
	"sync"
	"sync/atomic"
	"time"
)

// lateCheck is how late a check may run before its result is not trusted: a
// process that was paused itself must first read what has arrived meanwhile.
const lateCheck = 200 * time.Millisecond

// monitor finds a silent peer while requests are pending. It uses one timer per
// stream, which does not run while nothing is pending.
type monitor struct {
	// pending reports whether requests wait for answers.
	pending func() bool
	// probe asks the peer for a sign of life; silent is called if none comes.
	probe  func()
	silent func()
	// heard is the time of the last frame, in nanoseconds since start.
	heard atomic.Int64
	start time.Time

	mu      sync.Mutex
	running bool
	stopped bool
	// watched is true after watch was called while the monitor ran.
	watched bool
	// probed is when the last probe was sent; zero if it has been answered.
	probed time.Duration
	// due is when the next check is scheduled.
	due time.Duration
}

// newMonitor returns a monitor that is not running.
func newMonitor(pending func() bool, probe, silent func()) *monitor {
	return &monitor{pending: pending, probe: probe, silent: silent, start: time.Now()}
}

// hear records a frame of the peer.
func (m *monitor) hear() { m.heard.Store(int64(time.Since(m.start))) }

// watch starts the monitor unless it runs.
func (m *monitor) watch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running || m.stopped {
		m.watched = true
		return
	}
	m.running = true
	m.probed = 0
	// The time before the request does not count as silence.
	m.hear()
	m.after(probeAfter)
}

// stop ends the monitor.
func (m *monitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// after schedules the next check. The lock is held.
func (m *monitor) after(d time.Duration) {
	m.due = time.Since(m.start) + d
	time.AfterFunc(d, m.check)
}

// check sends a probe after silence, and reports the peer if a probe was not
// answered in time.
func (m *monitor) check() {
	// pending takes the stream's lock, which is held while watch is called.
	pending := m.pending()
	if action := m.decide(pending); action != nil {
		action()
	}
}

// decide returns what to do, nil if nothing, and schedules the next check.
func (m *monitor) decide(pending bool) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending = pending || m.watched
	m.watched = false
	heard, now := time.Duration(m.heard.Load()), time.Since(m.start)
	unanswered := m.probed > 0 && heard < m.probed
	late := now-m.due > lateCheck
	switch {
	case m.stopped:
		return nil
	case unanswered && !late:
		m.running = false
		return m.silent
	case !pending:
		m.running = false
		return nil
	case now-heard >= probeAfter:
		m.probed = now
		m.after(probeTimeout)
		return m.probe
	default:
		m.probed = 0
		m.after(probeAfter - (now - heard))
		return nil
	}
}
