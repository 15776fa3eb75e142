package claim

import "time"

// driveServing runs the term after the promotion: it polls and repairs the endpoints,
// waits for the marker, and replaces the primary if it is lost or leaving.
func (m *Machine) driveServing(now time.Time) {
	m.poll(now)
	m.repair(now)
	if m.primaryLost(now) {
		m.replacePrimary(now)
		return
	}
	if m.phase == PhaseAwaitingMarker {
		m.checkMarker()
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
		suspect := !r.suspectedAt.IsZero() && !r.pollFailed
		due := now.Sub(r.lastPollSentAt) >= interval || suspect && r.lastPollSentAt.Before(r.suspectedAt)
		if !due {
			continue
		}
		if suspect {
			delete(m.awaitedCalls, callKey{a, CallStatus})
		}
		if _, sent := m.startCall(now, CallStatus, a); sent {
			r.lastPollSentAt = now
		}
	}
}

// repair makes endpoints that missed the claim, restarted or follow another primary
// advance to the term and follow its primary.
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

func (m *Machine) repairEndpoint(now time.Time, a string, r *endpointRecord) {
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
	if id, sent := m.startCall(now, kind, a); sent {
		r.repairID = id - 1
		r.repairedAt = now
	}
}

// primaryLost reports whether the primary must be replaced, because it has not answered
// for PrimaryTimeout, a poll failed after traffic had reported an error, or it is no
// longer the primary. It returns false if no majority has answered since the primary's
// last answer: this daemon itself may be cut off, and a claim, which could get no
// majority, would only delay the candidates.
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
	case now.Sub(since) >= PrimaryTimeout:
		return m.lease.Start(m.addresses()).After(r.aliveAt)
	case r.pollFailed && !r.suspectedAt.Before(m.evidenceSince):
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

// replacePrimary claims the next term of a group that this daemon holds, in order to
// promote another endpoint.
func (m *Machine) replacePrimary(now time.Time) {
	m.reclaiming = true
	m.avoidedPrimary = m.primary
	if r := m.records[m.primary]; r != nil {
		r.suspectedAt, r.pollFailed = time.Time{}, false
	}
	m.startAdvance(now)
}

// checkMarker makes this daemon the owner once a majority has received the marker.
func (m *Machine) checkMarker() {
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
	m.lostClaims = 0
	m.reclaiming = false
	m.avoidedPrimary = ""
	m.emitNote(NoteOwned, "")
}

func (m *Machine) handleTrafficError(now time.Time, address string) {
	r := m.records[address]
	if r != nil && r.suspectedAt.IsZero() {
		r.suspectedAt = now
		r.pollFailed = false
	}
}
