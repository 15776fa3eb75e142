package claim

import "time"

// stalledAt reports whether, at now, the last step is more than StallThreshold ago.
func (m *Machine) stalledAt(now time.Time) bool {
	return !m.lastStep.IsZero() && now.Sub(m.lastStep) > StallThreshold
}

// detectStall moves evidenceSince to now if the caller had stalled: heartbeats and
// answers missed meanwhile say nothing about the other daemons and the endpoints.
func (m *Machine) detectStall(now time.Time) {
	if m.lastStep.IsZero() {
		m.evidenceSince = now
	}
	if m.stalledAt(now) {
		m.evidenceSince = now
		m.emitNote(NoteStalled, "no step for "+now.Sub(m.lastStep).String())
		if m.phase == PhasePreVoting || m.phase == PhaseSurveying {
			m.phase = PhaseWatching
		}
	}
	m.lastStep = now
}

// handleHeartbeat records an owner's heartbeat. It ignores heartbeats of an older term
// than the known owner's, which come from an owner that was replaced.
func (m *Machine) handleHeartbeat(now time.Time, o Owner) {
	if o.Address == m.cfg.Address && o.Incarnation == m.cfg.Incarnation {
		return
	}
	if o.Term < m.owner.Term {
		return
	}
	m.observeTerm(now, o.Term)
	if m.phase >= PhaseAdvancing {
		return
	}
	m.owner = o
	m.ownerHeardAt = now
	m.lostClaims = 0
	m.phase = PhaseWatching
}

// ownerTimeoutAt returns the time from which this daemon suspects that the owner failed.
func (m *Machine) ownerTimeoutAt() time.Time {
	since := m.evidenceSince
	if since.Before(m.ownerHeardAt) {
		since = m.ownerHeardAt
	}
	return since.Add(HeartbeatTimeout)
}

// driveWatching starts a pre-vote when the owner has timed out and the delay of this
// daemon's rank is over. While no term is known, the first candidate starts a survey
// without delay, because a group at term 0 never had an owner to wait for.
func (m *Machine) driveWatching(now time.Time) {
	if m.rank < 0 || m.leaving || now.Before(m.retryAt) {
		return
	}
	if m.rank == 0 && m.highestTerm == 0 {
		m.startSurvey(now)
		return
	}
	if !now.Before(m.ownerTimeoutAt().Add(time.Duration(m.rank) * RankDelay)) {
		m.startPreVote(now)
	}
}

// returnToWatching ends a claim or the ownership and gives a daemon with a higher term
// the time to send a heartbeat.
func (m *Machine) returnToWatching(now time.Time) {
	m.phase = PhaseWatching
	m.owner = Owner{Term: m.owner.Term}
	m.ownerHeardAt = now
	m.reclaiming = false
	m.switchover = switchover{}
	m.scheduleRetry(now)
}

// scheduleRetry sets the earliest time of the next claim. The wait gives a daemon with a
// higher term the time to send a heartbeat. It has jitter, so that two claimants that
// blocked each other do not start again at the same time.
func (m *Machine) scheduleRetry(now time.Time) {
	d := min(MinBackoff<<m.lostClaims, MaxBackoff)
	m.lostClaims = min(m.lostClaims+1, 8)
	m.retryAt = now.Add(HeartbeatTimeout + d/2 + time.Duration(m.random.Int64N(int64(d))))
}
