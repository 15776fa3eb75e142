package claim

import "time"

// handover is the state of a daemon's leave.
type handover struct {
	draining   bool
	drainRound uint64
	drained    bool
	// next indexes the candidate that is offered the group next.
	next    int
	offered string
	offerAt time.Time
}

func (m *Machine) leave(now time.Time) {
	m.leaving = true
	switch {
	case m.phase == PhaseWatching || m.phase >= PhasePromoting:
	case m.phase == PhaseAdvancing && m.reclaiming:
	default:
		m.retreat(now)
	}
}

// driveLeaving drains the owned group and then stops serving. It waits until
// this owner's own wait for an earlier lease is over, because the successor
// doesn't wait.
func (m *Machine) driveLeaving(now time.Time) {
	if !m.leaving {
		return
	}
	h := &m.handover
	if !h.draining {
		h.draining = true
		h.drainRound = m.switchover.drainRound + 1
		m.switchover = switchover{drainRound: h.drainRound}
		m.act(Drain{Round: h.drainRound})
	}
	if h.drained && !now.Before(m.confirmAfter) {
		m.phase = PhaseHandingOver
		m.owner = Owner{Term: m.term}
	}
}

// driveHandover offers the group to one candidate after the other.
func (m *Machine) driveHandover(now time.Time) {
	h := &m.handover
	if h.offered != "" && now.Sub(h.offerAt) < LostCall {
		return
	}
	if h.offered == "" && now.Sub(h.offerAt) < HandoverRetry && h.next > 0 {
		return
	}
	peers := m.otherPeers()
	if len(peers) == 0 {
		m.phase = PhaseWatching
		return
	}
	h.offered = peers[h.next%len(peers)]
	h.offerAt = now
	h.next++
	m.act(OfferHandover{To: h.offered, Term: m.term})
}

func (m *Machine) handoverAnswered(now time.Time, e HandoverAnswered) {
	h := &m.handover
	if m.phase != PhaseHandingOver || e.To != h.offered {
		return
	}
	h.offered = ""
	if !e.Accepted {
		return
	}
	m.note(NoteHandedOver, e.To)
	m.phase = PhaseWatching
	m.owner = Owner{Address: e.To, Term: m.term}
	m.heardAt = now
	m.handover = handover{}
}

// handoverOffered claims at once. The former owner has stopped serving, so its
// term counts like an own one in hold.
func (m *Machine) handoverOffered(now time.Time, term uint64) {
	if !m.AcceptsHandover(term) {
		return
	}
	m.highest = max(m.highest, term)
	if term > m.lastMajority {
		m.lastMajority = term
		m.confirmAfter = now
	}
	m.startAdvance(now)
}

// AcceptsHandover reports whether an offer of the group at the term will be taken.
func (m *Machine) AcceptsHandover(term uint64) bool {
	return !m.leaving && m.phase < PhaseAdvancing && len(m.endpoints) > 0 && term >= m.highest
}
