package claim

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// startAdvance claims the term after the highest one seen.
func (m *Machine) startAdvance(now time.Time) {
	m.phase = PhaseAdvancing
	m.highest++
	m.term = m.highest
	m.attemptAt = now
	m.granted = make(map[string]Status)
	m.denied = make(map[string]bool)
	m.lease = lease.New()
	m.primary = ""
	m.marker = logpos.Position{}
	m.promotionPoint = logpos.Position{}
	m.retriedAt = now
	m.forgetCalls()
	m.note(NoteClaimStarted, "")
	for _, a := range m.addresses() {
		m.call(now, CallAdvance, a)
	}
}

func (m *Machine) advanceAnswered(a Answer) {
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
		m.hold(now)
		if !m.awaitsPrimary(now) {
			m.promote(now, m.choose())
		}
	case len(m.endpoints)-denied < m.majority() || now.Sub(m.attemptAt) >= AttemptTimeout:
		m.note(NoteClaimLost, "no majority granted the term")
		m.retreat(now)
	default:
		m.advanceMissing(now)
	}
}

// countGrants counts current endpoints only.
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

// advanceMissing repeats the same term at endpoints that did not answer;
// endpoints accept a repetition of the same holder.
func (m *Machine) advanceMissing(now time.Time) {
	if now.Sub(m.retriedAt) < RetryInterval {
		return
	}
	m.retriedAt = now
	for _, a := range m.addresses() {
		if _, ok := m.granted[a]; !ok && !m.denied[a] {
			m.call(now, CallAdvance, a)
		}
	}
}

// hold records the majority. The wait before the first confirmation can be
// left out if this daemon, or one that handed over to it, held the term right
// before: each endpoint grants a term to one holder only, so nobody else can
// have held a majority, and hence a lease, in between.
func (m *Machine) hold(now time.Time) {
	if m.lastMajority == m.term {
		return
	}
	if m.lastMajority+1 != m.term {
		m.confirmAfter = lease.ConfirmAfter(now)
	}
	m.lastMajority = m.term
	m.majorityAt = now
	m.owner = Owner{Address: m.cfg.Address, Incarnation: m.cfg.Incarnation, Term: m.term}
}

// awaitsPrimary reports whether the primary's own answer may still arrive soon.
func (m *Machine) awaitsPrimary(now time.Time) bool {
	if now.Sub(m.majorityAt) >= PrimaryGrace {
		return false
	}
	p := m.lastPrimary()
	_, answered := m.granted[p]
	r := m.records[p]
	return p != "" && p != m.avoided && !answered && !m.denied[p] && r.Reachable
}

// lastPrimary returns the endpoint appointed primary in the highest term, as
// far as known; empty if none is.
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

// choose returns the most advanced of the endpoints that granted the term.
// Among equals, the current primary is kept unless it is leaving.
func (m *Machine) choose() string {
	current := m.lastPrimary()
	best := ""
	for _, a := range m.addresses() {
		if _, ok := m.granted[a]; !ok {
			continue
		}
		if best == "" || m.preferred(a, best, current) {
			best = a
		}
	}
	return best
}

func (m *Machine) preferred(a, b, current string) bool {
	if c := m.granted[a].Received.Compare(m.granted[b].Received); c != 0 {
		return c > 0
	}
	return m.preference(a, current) > m.preference(b, current)
}

// preference orders endpoints with equal logs.
func (m *Machine) preference(a, current string) int {
	p := 0
	if !m.isLeaving(a) {
		p += 4
	}
	if !m.promoteFailed[a] && a != m.avoided {
		p += 2
	}
	if a == current {
		p++
	}
	return p
}
