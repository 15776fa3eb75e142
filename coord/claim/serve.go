package claim

import "time"

// serve runs the term after the promotion: polls, repairs, the marker, and the
// watch over the primary.
func (m *Machine) serve(now time.Time) {
	m.poll(now)
	m.repair(now)
	if m.primaryLost(now) {
		m.reclaim(now)
		return
	}
	if m.phase == PhaseAwaitingMarker {
		m.awaitMarker()
		return
	}
	m.driveLeaving(now)
	if m.phase == PhaseOwning {
		m.driveSwitchover(now)
	}
}

func (m *Machine) poll(now time.Time) {
	interval := PollInterval
	if m.NeedsFastPolling() {
		interval = FastPollInterval
	}
	for _, a := range m.addresses() {
		r := m.records[a]
		suspect := !r.suspectedAt.IsZero() && !r.failed
		due := now.Sub(r.polledAt) >= interval || suspect && r.polledAt.Before(r.suspectedAt)
		if !due {
			continue
		}
		if suspect {
			delete(m.waiting, waitKey{a, CallStatus})
		}
		if _, sent := m.call(now, CallStatus, a); sent {
			r.polledAt = now
		}
	}
}

// repair brings endpoints to the term and to its primary: those that missed the
// claim, restarted, or follow another primary.
func (m *Machine) repair(now time.Time) {
	for _, a := range m.addresses() {
		r := m.records[a]
		if a == m.primary || r.answerID <= r.repairID || !r.Reachable {
			continue
		}
		if now.Sub(r.repairedAt) < RetryInterval && r.repairedAt.After(m.promotedAt) {
			continue
		}
		m.repairEndpoint(now, a, r)
	}
}

func (m *Machine) repairEndpoint(now time.Time, a string, r *record) {
	s := r.Status
	kind := CallFollow
	switch {
	case s.Term < m.term:
		kind = CallAdvance
	case s.Holder != m.cfg.Holder:
		return
	case s.Role == RoleReplica && s.AppointedTerm == m.term && s.Primary == m.primary:
		return
	}
	if id, sent := m.call(now, kind, a); sent {
		r.repairID = id - 1
		r.repairedAt = now
	}
}

// primaryLost reports whether the primary is to be replaced: it was missed, an
// error of traffic was confirmed by a failed poll, or it is no primary any more.
// If no majority has answered since the primary's last answer, the owner itself
// may be cut off: a claim could get no majority and would only delay the
// candidates.
func (m *Machine) primaryLost(now time.Time) bool {
	r := m.records[m.primary]
	if r == nil {
		return true
	}
	if !m.lease.Valid(m.addresses(), now) {
		return false
	}
	since := latest(r.aliveAt, m.evidenceSince, m.promotedAt)
	switch {
	case now.Sub(since) >= PrimaryMissed:
		return m.lease.Start(m.addresses()).After(r.aliveAt)
	case r.failed && !r.suspectedAt.Before(m.evidenceSince):
		return true
	}
	return r.Status.Term == m.term && r.Status.Role != RolePrimary && r.PolledAt.After(m.promotedAt)
}

func latest(ts ...time.Time) time.Time {
	var l time.Time
	for _, t := range ts {
		if t.After(l) {
			l = t
		}
	}
	return l
}

// reclaim replaces the primary of a group that this daemon holds.
func (m *Machine) reclaim(now time.Time) {
	m.reclaiming = true
	m.avoided = m.primary
	if r := m.records[m.primary]; r != nil {
		r.suspectedAt, r.failed = time.Time{}, false
	}
	m.startAdvance(now)
}

// awaitMarker becomes owner once a majority has received the marker.
func (m *Machine) awaitMarker() {
	n := 0
	for _, a := range m.addresses() {
		s := m.records[a].Status
		if s.Term == m.term && s.Received.Covers(m.marker) {
			n++
		}
	}
	if n < m.majority() {
		return
	}
	m.phase = PhaseOwning
	m.failures = 0
	m.reclaiming = false
	m.avoided = ""
	m.note(NoteOwned, "")
}

func (m *Machine) trafficError(now time.Time, address string) {
	r := m.records[address]
	if r != nil && r.suspectedAt.IsZero() {
		r.suspectedAt = now
		r.failed = false
	}
}
