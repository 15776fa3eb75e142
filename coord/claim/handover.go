package claim

import "time"

// handover is the state of the handover of the group when the daemon leaves.
type handover struct {
	draining   bool
	drainRound uint64
	drained    bool
	// nextPeer counts the offers; modulo the number of peers it is the index of the
	// peer that gets the next one.
	nextPeer  int
	offeredTo string
	offeredAt time.Time
}

func (m *Machine) startLeaving(now time.Time) {
	m.leaving = true
	switch {
	case m.phase == PhaseWatching || m.phase >= PhasePromoting:
	case m.phase == PhaseAdvancing && m.reclaiming:
	default:
		m.returnToWatching(now)
	}
}

// driveLeaving drains the owned group and then stops serving. It does not stop before
// confirmAfter, because the successor does not wait for the lease of an earlier owner.
func (m *Machine) driveLeaving(now time.Time) {
	if !m.leaving {
		return
	}
	h := &m.handover
	if !h.draining {
		h.draining = true
		h.drainRound = m.switchover.drainRound + 1
		m.switchover = switchover{drainRound: h.drainRound}
		m.emit(Drain{Round: h.drainRound})
	}
	if h.drained && !now.Before(m.confirmAfter) {
		m.phase = PhaseHandingOver
		m.owner = Owner{Term: m.term}
	}
}

// driveHandover offers the group to one peer after the other until one accepts.
func (m *Machine) driveHandover(now time.Time) {
	h := &m.handover
	if h.offeredTo != "" && now.Sub(h.offeredAt) < CallExpiry {
		return
	}
	if h.offeredTo == "" && now.Sub(h.offeredAt) < HandoverRetry && h.nextPeer > 0 {
		return
	}
	peers := m.otherPeers()
	if len(peers) == 0 {
		m.phase = PhaseWatching
		return
	}
	h.offeredTo = peers[h.nextPeer%len(peers)]
	h.offeredAt = now
	h.nextPeer++
	m.emit(OfferHandover{To: h.offeredTo, Term: m.term})
}

func (m *Machine) handleHandoverAnswer(now time.Time, e HandoverAnswered) {
	h := &m.handover
	if m.phase != PhaseHandingOver || e.To != h.offeredTo {
		return
	}
	h.offeredTo = ""
	if !e.Accepted {
		return
	}
	m.emitNote(NoteHandedOver, e.To)
	m.phase = PhaseWatching
	m.owner = Owner{Address: e.To, Term: m.term}
	m.ownerHeardAt = now
	m.handover = handover{}
}

// handleHandoverOffer starts a claim without delay. Since the former owner has stopped
// serving, recordMajority treats its term like one that this daemon held.
func (m *Machine) handleHandoverOffer(now time.Time, term uint64) {
	if !m.AcceptsHandover(term) {
		return
	}
	m.highestTerm = max(m.highestTerm, term)
	if term > m.lastMajorityTerm {
		m.lastMajorityTerm = term
		m.confirmAfter = now
	}
	m.startAdvance(now)
}

// AcceptsHandover reports whether this daemon accepts a handover of the group at the
// term.
func (m *Machine) AcceptsHandover(term uint64) bool {
	return !m.leaving && m.phase < PhaseAdvancing && len(m.endpoints) > 0 && term >= m.highestTerm
}
