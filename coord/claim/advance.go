package claim

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// startAdvance starts a claim of the term after the highest one known.
func (m *Machine) startAdvance(now time.Time) {
	m.phase = PhaseAdvancing
	m.highestTerm++
	m.term = m.highestTerm
	m.attemptStartedAt = now
	m.granted = make(map[string]Status)
	m.denied = make(map[string]bool)
	m.lease = lease.New()
	m.primary = ""
	m.marker = logpos.Position{}
	m.promotionPoint = logpos.Position{}
	m.lastRetryAt = now
	m.forgetCalls()
	m.emitNote(NoteClaimStarted, "")
	for _, a := range m.addresses() {
		m.startCall(now, CallAdvance, a)
	}
}

func (m *Machine) handleAdvanceAnswer(a Answer) {
	if m.phase != PhaseAdvancing {
		return
	}
	switch {
	case a.Stale:
		m.denied[a.Address] = true
	case a.Failed:
	default:
		m.granted[a.Address] = a.Status
	}
}

func (m *Machine) driveAdvance(now time.Time) {
	granted, denied := m.countGrants()
	switch {
	case granted >= m.majority():
		m.recordMajority(now)
		if !m.waitsForPrimary(now) {
			m.promote(now, m.choosePrimary())
		}
	case len(m.endpoints)-denied < m.majority() || now.Sub(m.attemptStartedAt) >= AttemptTimeout:
		m.emitNote(NoteClaimLost, "no majority granted the term")
		m.returnToWatching(now)
	default:
		m.advanceMissing(now)
	}
}

// countGrants counts the current endpoints that granted or denied the term. Endpoints
// that have left the group do not count.
func (m *Machine) countGrants() (granted, denied int) {
	for _, a := range m.addresses() {
		if _, ok := m.granted[a]; ok {
			granted++
		}
		if m.denied[a] {
			denied++
		}
	}
	return granted, denied
}

// advanceMissing repeats the advance to the same term at endpoints that did not answer.
// An endpoint accepts a repetition from the same holder.
func (m *Machine) advanceMissing(now time.Time) {
	if now.Sub(m.lastRetryAt) < RetryInterval {
		return
	}
	m.lastRetryAt = now
	for _, a := range m.addresses() {
		if _, ok := m.granted[a]; !ok && !m.denied[a] {
			m.startCall(now, CallAdvance, a)
		}
	}
}

// recordMajority records that a majority granted the term. The wait before the first
// confirmation is not needed if this daemon, or an owner that handed the group over to
// it, held the previous term: each endpoint grants a term to one holder only, so that
// no other daemon can have held a majority, and hence a lease, in between.
func (m *Machine) recordMajority(now time.Time) {
	if m.lastMajorityTerm == m.term {
		return
	}
	if m.lastMajorityTerm+1 != m.term {
		m.confirmAfter = lease.ConfirmAfter(now)
	}
	m.lastMajorityTerm = m.term
	m.majorityAt = now
	m.owner = Owner{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Term: m.term}
}

// waitsForPrimary reports whether the claim waits for the answer of the last primary,
// which may still arrive soon.
func (m *Machine) waitsForPrimary(now time.Time) bool {
	if now.Sub(m.majorityAt) >= PrimaryGrace {
		return false
	}
	p := m.lastPrimary()
	_, answered := m.granted[p]
	r := m.records[p]
	return p != "" && p != m.avoidedPrimary && !answered && !m.denied[p] && r.Reachable
}

// lastPrimary returns the endpoint that was promoted in the highest term, as far as
// this daemon knows; empty if it knows of none.
func (m *Machine) lastPrimary() string {
	best, term := "", uint64(0)
	for _, a := range m.addresses() {
		s := m.records[a].Status
		if g, ok := m.granted[a]; ok {
			s = g
		}
		if s.Role != RoleReplica && s.AppointedTerm > term {
			best, term = a, s.AppointedTerm
		}
	}
	return best
}

// choosePrimary returns the endpoint with the most advanced log among those that
// granted the term. Among equals it prefers the current primary, unless that is
// leaving.
func (m *Machine) choosePrimary() string {
	current := m.lastPrimary()
	best := ""
	for _, a := range m.addresses() {
		if _, ok := m.granted[a]; !ok {
			continue
		}
		if best == "" || m.isBetterPrimary(a, best, current) {
			best = a
		}
	}
	return best
}

func (m *Machine) isBetterPrimary(a, b, current string) bool {
	if c := m.granted[a].Received.Compare(m.granted[b].Received); c != 0 {
		return c > 0
	}
	return m.preferenceScore(a, current) > m.preferenceScore(b, current)
}

// preferenceScore orders endpoints with equal logs; the highest score is best.
func (m *Machine) preferenceScore(a, current string) int {
	p := 0
	if !m.isLeaving(a) {
		p += 4
	}
	if !m.failedPrimaries[a] && a != m.avoidedPrimary {
		p += 2
	}
	if a == current {
		p++
	}
	return p
}
