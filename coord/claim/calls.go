package claim

import "time"

// call sends a call unless one of its kind and term is still awaited.
func (m *Machine) call(now time.Time, kind CallKind, address string) (id uint64, sent bool) {
	key := waitKey{address, kind}
	if w, ok := m.waiting[key]; ok && now.Sub(w.sent) < LostCall {
		return 0, false
	}
	m.nextID++
	m.waiting[key] = waiting{id: m.nextID, sent: now}
	c := Call{ID: m.nextID, Kind: kind, Address: address}
	if kind != CallStatus {
		c.Term = m.term
	}
	if kind == CallFollow {
		c.Primary = m.primary
	}
	m.act(c)
	return c.ID, true
}

// forgetCalls allows calls of a new term at once; answers to the calls of the
// previous term still count as information about terms.
func (m *Machine) forgetCalls() {
	for k := range m.waiting {
		if k.kind != CallStatus {
			delete(m.waiting, k)
		}
	}
}

func (m *Machine) answered(now time.Time, a Answer) {
	key := waitKey{a.Address, a.Kind}
	if m.waiting[key].id == a.ID {
		delete(m.waiting, key)
	}
	m.record(now, a)
	seen := a.EndpointTerm
	if !a.Failed && !a.Stale {
		seen = a.Status.Term
	}
	if m.termSeen(now, seen) {
		return
	}
	m.proveLease(a)
	switch {
	case a.Term != m.term:
	case a.Kind == CallAdvance:
		m.advanceAnswered(a)
	case a.Kind == CallPromote:
		m.promoteAnswered(now, a)
	}
}

// record keeps the newest status of the endpoint.
func (m *Machine) record(now time.Time, a Answer) {
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
		r.failed = false
	}
	if !a.Stale && a.ID > r.answerID {
		r.Status, r.PolledAt, r.answerID = a.Status, a.Started, a.ID
	}
}

// recordFailure ignores calls that were sent before evidence counts: during a
// stall, a call runs into its timeout although the endpoint answered.
func (m *Machine) recordFailure(r *record, a Answer) {
	if a.Started.Before(m.evidenceSince) {
		return
	}
	r.Reachable = false
	if !r.suspectedAt.IsZero() && !a.Started.Before(r.suspectedAt) {
		r.failed = true
	}
}

// proveLease counts an answer that carries the held or claimed term.
func (m *Machine) proveLease(a Answer) {
	if a.Failed || a.Stale || m.phase < PhaseAdvancing {
		return
	}
	if a.Status.Term == m.term && a.Status.Holder == m.cfg.Holder {
		m.lease.Observe(a.Address, a.Started)
	}
}

// termSeen takes note of a term. It returns true if the term ended a claim or
// the ownership.
func (m *Machine) termSeen(now time.Time, term uint64) bool {
	m.highest = max(m.highest, term)
	if m.phase < PhaseAdvancing || term <= m.term {
		return false
	}
	if m.phase == PhaseOwning {
		m.note(NoteSteppedDown, "an endpoint is at a higher term")
	} else if m.phase != PhaseHandingOver {
		m.note(NoteClaimLost, "an endpoint is at a higher term")
	}
	m.retreat(now)
	return true
}
