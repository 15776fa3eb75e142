package peer

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxCheckDelay is how late a check may run and still be trusted. A later check
// shows that this process was paused; it must first read the frames that
// arrived meanwhile.
const maxCheckDelay = 200 * time.Millisecond

// livenessMonitor detects an unresponsive peer while requests are pending. It
// uses one timer per stream, which is stopped while nothing is pending.
type livenessMonitor struct {
	// pending reports whether requests are waiting for answers.
	pending func() bool
	// sendProbe asks the peer for a frame; onUnresponsive is called if none
	// arrives within probeTimeout.
	sendProbe      func()
	onUnresponsive func()
	// lastFrame is when the last frame arrived, in nanoseconds since start.
	lastFrame atomic.Int64
	start     time.Time

	mu      sync.Mutex
	running bool
	stopped bool
	// requestSinceCheck is true if a request was started since the last check.
	requestSinceCheck bool
	// probeSentAt is when the last probe was sent; zero if it was answered.
	probeSentAt time.Duration
	// nextCheck is when the next check is scheduled.
	nextCheck time.Duration
}

// newLivenessMonitor returns a monitor that is not running.
func newLivenessMonitor(pending func() bool, sendProbe, onUnresponsive func()) *livenessMonitor {
	return &livenessMonitor{pending: pending, sendProbe: sendProbe, onUnresponsive: onUnresponsive, start: time.Now()}
}

// frameReceived records the arrival of a frame.
func (m *livenessMonitor) frameReceived() { m.lastFrame.Store(int64(time.Since(m.start))) }

// requestStarted starts the timer if it is not running.
func (m *livenessMonitor) requestStarted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running || m.stopped {
		m.requestSinceCheck = true
		return
	}
	m.running = true
	m.probeSentAt = 0
	// Silence is measured from the start of the request.
	m.frameReceived()
	m.scheduleCheck(probeAfterSilence)
}

// stop ends the monitor.
func (m *livenessMonitor) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
}

// scheduleCheck schedules the next check. The caller holds the lock.
func (m *livenessMonitor) scheduleCheck(d time.Duration) {
	m.nextCheck = time.Since(m.start) + d
	time.AfterFunc(d, m.check)
}

// check sends a probe if the peer has been silent, and reports the peer if it
// did not answer a probe in time.
func (m *livenessMonitor) check() {
	// pending takes the stream's lock, which is held during requestStarted.
	pending := m.pending()
	if action := m.nextAction(pending); action != nil {
		action()
	}
}

// nextAction schedules the next check and returns what to do now, nil if
// nothing.
func (m *livenessMonitor) nextAction(pending bool) func() {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending = pending || m.requestSinceCheck
	m.requestSinceCheck = false
	lastFrame, now := time.Duration(m.lastFrame.Load()), time.Since(m.start)
	unanswered := m.probeSentAt > 0 && lastFrame < m.probeSentAt
	late := now-m.nextCheck > maxCheckDelay
	switch {
	case m.stopped:
		return nil
	case unanswered && !late:
		m.running = false
		return m.onUnresponsive
	case !pending:
		m.running = false
		return nil
	case now-lastFrame >= probeAfterSilence:
		m.probeSentAt = now
		m.scheduleCheck(probeTimeout)
		return m.sendProbe
	default:
		m.probeSentAt = 0
		m.scheduleCheck(probeAfterSilence - (now - lastFrame))
		return nil
	}
}
