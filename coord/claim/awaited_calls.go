package claim

import "time"

// startCall emits a call unless the answer to an earlier call of the same kind to the
// same endpoint is still awaited.
func (m *Machine) startCall(now time.Time, kind CallKind, address string) (id uint64, sent bool) {
	key := callKey{address, kind}
	if awaited, ok := m.awaitedCalls[key]; ok && now.Sub(awaited.sentAt) < CallExpiry {
		return 0, false
	}
	m.nextID++
	m.awaitedCalls[key] = awaitedCall{id: m.nextID, sentAt: now}
	c := Call{ID: m.nextID, Kind: kind, Address: address}
	if kind != CallStatus {
		c.Term = m.term
	}
	if kind == CallFollow {
		c.Primary = m.primary
	}
	m.emit(c)
	return c.ID, true
}

// forgetCalls allows calls of a new term without waiting for the answers to those of
// the previous term. Such answers still tell the endpoint's term.
func (m *Machine) forgetCalls() {
	for k := range m.awaitedCalls {
		if k.kind != CallStatus {
			delete(m.awaitedCalls, k)
		}
	}
}

func (m *Machine) handleAnswer(now time.Time, a Answer) {
	key := callKey{a.Address, a.Kind}
	if m.awaitedCalls[key].id == a.ID {
		delete(m.awaitedCalls, key)
	}
	m.recordStatus(now, a)
	endpointTerm := a.EndpointTerm
	if !a.Failed && !a.Stale {
		endpointTerm = a.Status.Term
	}
	if m.observeTerm(now, endpointTerm) {
		return
	}
	m.extendLease(a)
	switch {
	case a.Term != m.term:
	case a.Kind == CallAdvance:
		m.handleAdvanceAnswer(a)
	case a.Kind == CallPromote:
		m.handlePromoteAnswer(now, a)
	}
}

// recordStatus records the endpoint's status, unless a later call was answered before,
// and that the endpoint is reachable.
func (m *Machine) recordStatus(now time.Time, a Answer) {
	r := m.records[a.Address]
	if r == nil {
		return
	}
	if a.Failed {
		m.recordFailure(r, a)
		return
	}
	r.Reachable = true
	r.aliveAt = now
	if r.suspectedAt.IsZero() || !a.Started.Before(r.suspectedAt) {
		r.suspectedAt = time.Time{}
		r.pollFailed = false
	}
	if !a.Stale && a.ID > r.answerID {
		r.Status, r.PolledAt, r.answerID = a.Status, a.Started, a.ID
	}
}

// recordFailure records that the endpoint is unreachable. It ignores calls that started
// before evidenceSince: during a stall, a call runs into its timeout even if the
// endpoint answered.
func (m *Machine) recordFailure(r *endpointRecord, a Answer) {
	if a.Started.Before(m.evidenceSince) {
		return
	}
	r.Reachable = false
	if !r.suspectedAt.IsZero() && !a.Started.Before(r.suspectedAt) {
		r.pollFailed = true
	}
}

// extendLease extends the lease if the answer shows that the endpoint is at the held or
// claimed term of this daemon.
func (m *Machine) extendLease(a Answer) {
	if a.Failed || a.Stale || m.phase < PhaseAdvancing {
		return
	}
	if a.Status.Term == m.term && a.Status.Holder == m.cfg.Holder {
		m.lease.Observe(a.Address, a.Started)
	}
}

// observeTerm records a term that an endpoint or another daemon is at. It returns true
// if the term ended a claim or the ownership of this daemon.
func (m *Machine) observeTerm(now time.Time, term uint64) bool {
	m.highestTerm = max(m.highestTerm, term)
	if m.phase < PhaseAdvancing || term <= m.term {
		return false
	}
	if m.phase == PhaseOwning {
		m.emitNote(NoteSteppedDown, "an endpoint is at a higher term")
	} else if m.phase != PhaseHandingOver {
		m.emitNote(NoteClaimLost, "an endpoint is at a higher term")
	}
	m.returnToWatching(now)
	return true
}
