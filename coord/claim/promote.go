package claim

import "time"

// promote appoints the only primary of the term.
func (m *Machine) promote(now time.Time, address string) {
	m.phase = PhasePromoting
	m.primary = address
	m.promotedAt = now
	m.promotionPoint = m.granted[address].Received
	m.call(now, CallPromote, address)
}

func (m *Machine) promoteAnswered(now time.Time, a Answer) {
	if m.phase != PhasePromoting || a.Address != m.primary {
		return
	}
	if a.Failed || a.Stale || a.Status.Role != RolePrimary || a.Status.Received.Term != m.term {
		m.promotionFailed(now)
		return
	}
	m.marker = a.Status.Received
	m.promotedAt = now
	m.failedPromotes = 0
	m.promoteFailed = make(map[string]bool)
	m.phase = PhaseAwaitingMarker
}

func (m *Machine) drivePromote(now time.Time) {
	if now.Sub(m.promotedAt) >= LostCall {
		m.promotionFailed(now)
	}
}

// promotionFailed goes on to the next term. The failed promotion may have taken
// effect, so that promoting another endpoint in the same term could lead to two
// primaries of one term.
func (m *Machine) promotionFailed(now time.Time) {
	m.promoteFailed[m.primary] = true
	m.failedPromotes++
	if m.failedPromotes < promoteAttempts {
		m.startAdvance(now)
		return
	}
	m.failedPromotes = 0
	m.note(NoteClaimLost, "promotion failed")
	m.retreat(now)
}
