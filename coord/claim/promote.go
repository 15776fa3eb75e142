package claim

import "time"

// promote asks the endpoint to become the primary. No other endpoint is promoted in the
// same term.
func (m *Machine) promote(now time.Time, address string) {
	m.phase = PhasePromoting
	m.primary = address
	m.promotedAt = now
	m.promotionPoint = m.granted[address].Received
	m.startCall(now, CallPromote, address)
}

func (m *Machine) handlePromoteAnswer(now time.Time, a Answer) {
	if m.phase != PhasePromoting || a.Address != m.primary {
		return
	}
	if a.Failed || a.Stale || a.Status.Role != RolePrimary || a.Status.Received.Term != m.term {
		m.handlePromotionFailure(now)
		return
	}
	m.marker = a.Status.Received
	m.promotedAt = now
	m.consecutivePromoteFailures = 0
	m.failedPrimaries = make(map[string]bool)
	m.phase = PhaseAwaitingMarker
}

func (m *Machine) drivePromote(now time.Time) {
	if now.Sub(m.promotedAt) >= CallExpiry {
		m.handlePromotionFailure(now)
	}
}

// handlePromotionFailure claims the next term, or backs off after maxPromoteFailures.
// It does not promote another endpoint in the same term: the failed promotion may have
// taken effect, and the term would then have two primaries.
func (m *Machine) handlePromotionFailure(now time.Time) {
	m.failedPrimaries[m.primary] = true
	m.consecutivePromoteFailures++
	if m.consecutivePromoteFailures < maxPromoteFailures {
		m.startAdvance(now)
		return
	}
	m.consecutivePromoteFailures = 0
	m.emitNote(NoteClaimLost, "promotion failed")
	m.returnToWatching(now)
}
