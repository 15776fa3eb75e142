package claim

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// switchover is the planned replacement of a leaving primary.
type switchover struct {
	active   bool
	attempts int
	// pausedUntil ends the pause after failed attempts.
	pausedUntil time.Time
	// holdSince is the start of the current hold of new writes.
	holdSince  time.Time
	drainRound uint64
	drained    bool
}

// driveSwitchover holds new writes, waits until the requests in flight have
// ended and a target has received everything, and claims the next term; choose
// then prefers the target. If the primary turns out to be ahead, it is
// reappointed while the hold goes on, and the next attempt finds no open
// transactions.
func (m *Machine) driveSwitchover(now time.Time) {
	sw := &m.switchover
	if !m.isLeaving(m.primary) || m.target() == "" {
		m.switchover = switchover{drainRound: sw.drainRound, pausedUntil: sw.pausedUntil}
		return
	}
	if m.leaving || now.Before(sw.pausedUntil) {
		return
	}
	if !sw.active {
		m.startHold(now)
	}
	if now.Sub(sw.holdSince) < SwitchoverHold && !m.targetReady() {
		return
	}
	m.switchOver(now)
}

func (m *Machine) startHold(now time.Time) {
	sw := &m.switchover
	sw.active = true
	sw.attempts = 0
	sw.holdSince = now
	sw.drained = false
	sw.drainRound++
	m.act(Drain{Round: sw.drainRound})
}

func (m *Machine) switchOver(now time.Time) {
	sw := &m.switchover
	if sw.attempts >= switchoverAttempts {
		m.switchover = switchover{drainRound: sw.drainRound, pausedUntil: now.Add(SwitchoverPause)}
		return
	}
	sw.attempts++
	sw.holdSince = now
	m.reclaiming = true
	m.startAdvance(now)
}

// target returns the most advanced reachable endpoint that is not leaving.
func (m *Machine) target() string {
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

// targetReady reports whether the target has received all that the primary held
// after the last request in flight had ended.
func (m *Machine) targetReady() bool {
	sw := &m.switchover
	p, t := m.records[m.primary], m.records[m.target()]
	return sw.drained && p.PolledAt.After(sw.holdSince) && t.Status.Received.Covers(p.Status.Received)
}

// drained records the end of the requests in flight. Earlier statuses of the
// primary don't show their last entries.
func (m *Machine) drained(round uint64) {
	if m.switchover.active && round == m.switchover.drainRound {
		m.switchover.drained = true
		m.switchover.holdSince = latest(m.switchover.holdSince, m.lastStep)
	}
	if m.handover.draining && round == m.handover.drainRound {
		m.handover.drained = true
	}
}
