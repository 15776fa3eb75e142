package claim

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// switchover is the planned replacement of a leaving primary.
type switchover struct {
	active   bool
	attempts int
	// pausedUntil is the end of the pause after failed attempts.
	pausedUntil time.Time
	// writesHeldSince is when the current attempt began to hold new writes, and later
	// when the requests in flight had ended.
	writesHeldSince time.Time
	drainRound      uint64
	drained         bool
}

// driveSwitchover holds new writes, waits until the requests in flight have ended and a
// target has received the whole log of the primary, and claims the next term, in which
// choosePrimary prefers the target. If the primary's log turns out to be longer, the
// primary is promoted again while writes stay held, and the next attempt finds no open
// transactions.
func (m *Machine) driveSwitchover(now time.Time) {
	sw := &m.switchover
	if !m.isLeaving(m.primary) || m.switchoverTarget() == "" {
		m.switchover = switchover{drainRound: sw.drainRound, pausedUntil: sw.pausedUntil}
		return
	}
	if m.leaving || now.Before(sw.pausedUntil) {
		return
	}
	if !sw.active {
		m.startWriteHold(now)
	}
	if now.Sub(sw.writesHeldSince) < MaxWriteHold && !m.switchoverTargetReady() {
		return
	}
	m.attemptSwitchover(now)
}

func (m *Machine) startWriteHold(now time.Time) {
	sw := &m.switchover
	sw.active = true
	sw.attempts = 0
	sw.writesHeldSince = now
	sw.drained = false
	sw.drainRound++
	m.emit(Drain{Round: sw.drainRound})
}

func (m *Machine) attemptSwitchover(now time.Time) {
	sw := &m.switchover
	if sw.attempts >= maxSwitchoverTerms {
		m.switchover = switchover{drainRound: sw.drainRound, pausedUntil: now.Add(SwitchoverPause)}
		return
	}
	sw.attempts++
	sw.writesHeldSince = now
	m.reclaiming = true
	m.startAdvance(now)
}

// switchoverTarget returns the reachable endpoint with the most advanced log that is not
// leaving; empty if there is none.
func (m *Machine) switchoverTarget() string {
	best := ""
	var end logpos.Position
	for _, e := range m.endpoints {
		r := m.records[e.Address]
		if e.Leaving || !r.Reachable || r.Status.Term != m.term {
			continue
		}
		if best == "" || end.Less(r.Status.Received) {
			best, end = e.Address, r.Status.Received
		}
	}
	return best
}

// switchoverTargetReady reports whether the target has received everything that was in
// the primary's log after the last request in flight had ended.
func (m *Machine) switchoverTargetReady() bool {
	sw := &m.switchover
	p, t := m.records[m.primary], m.records[m.switchoverTarget()]
	return sw.drained && p.PolledAt.After(sw.writesHeldSince) && t.Status.Received.Covers(p.Status.Received)
}

// handleDrained records that the requests in flight have ended. Statuses that the
// primary reported earlier may lack the log entries of these requests.
func (m *Machine) handleDrained(round uint64) {
	if m.switchover.active && round == m.switchover.drainRound {
		m.switchover.drained = true
		m.switchover.writesHeldSince = latest(m.switchover.writesHeldSince, m.lastStep)
	}
	if m.handover.draining && round == m.handover.drainRound {
		m.handover.drained = true
	}
}
