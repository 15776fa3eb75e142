package claim

import "time"

// stalledBy reports whether the caller has not stepped for longer than Stall.
func (m *Machine) stalledBy(now time.Time) bool {
	return !m.lastStep.IsZero() && now.Sub(m.lastStep) > Stall
}

// noteTime discards all evidence if the caller was stalled: what was missed
// meanwhile says nothing about the others.
func (m *Machine) noteTime(now time.Time) {
	if m.lastStep.IsZero() {
		m.evidenceSince = now
	}
	if m.stalledBy(now) {
		m.evidenceSince = now
		m.note(NoteStalled, "no step for "+now.Sub(m.lastStep).String())
		if m.phase == PhasePreVoting || m.phase == PhaseSurveying {
			m.phase = PhaseWatching
		}
	}
	m.lastStep = now
}

// heard takes note of an owner's heartbeat. One of an older term than known
// comes from an owner that was replaced.
func (m *Machine) heard(now time.Time, o Owner) {
	if o.Address == m.cfg.Address && o.Incarnation == m.cfg.Incarnation {
		return
	}
	if o.Term < m.owner.Term {
		return
	}
	m.termSeen(now, o.Term)
	if m.phase >= PhaseAdvancing {
		return
	}
	m.owner = o
	m.heardAt = now
	m.failures = 0
	m.phase = PhaseWatching
}

// suspectAt returns the time from which the owner counts as missed.
func (m *Machine) suspectAt() time.Time {
	since := m.evidenceSince
	if since.Before(m.heardAt) {
		since = m.heardAt
	}
	return since.Add(HeartbeatTimeout)
}

// watch starts a pre-vote once the owner is missed and this rank's delay is
// over. The first candidate surveys at once after its start, because a group
// at term 0 never had an owner that could be missed.
func (m *Machine) watch(now time.Time) {
	if m.rank < 0 || m.leaving || now.Before(m.retryAt) {
		return
	}
	if m.rank == 0 && m.highest == 0 {
		m.startSurvey(now)
		return
	}
	if !now.Before(m.suspectAt().Add(time.Duration(m.rank) * RankDelay)) {
		m.startPreVote(now)
	}
}

// retreat returns to watching after a lost claim or ownership and waits for
// whoever is ahead.
func (m *Machine) retreat(now time.Time) {
	m.phase = PhaseWatching
	m.owner = Owner{Term: m.owner.Term}
	m.heardAt = now
	m.reclaiming = false
	m.switchover = switchover{}
	m.backOff(now)
}

// backOff sets the time of the next attempt. Whoever is ahead gets the time to
// be heard; jitter keeps two claimants that blocked each other from meeting
// again.
func (m *Machine) backOff(now time.Time) {
	d := min(BackoffMin<<m.failures, BackoffMax)
	m.failures = min(m.failures+1, 8)
	m.retryAt = now.Add(HeartbeatTimeout + d/2 + time.Duration(m.random.Int64N(int64(d))))
}
