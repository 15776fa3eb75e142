package claim

import (
	"slices"
	"time"
)

// preVote is the state of PhasePreVoting.
type preVote struct {
	round    uint64
	deadline time.Time
	pending  map[string]bool
	answered bool
	alive    bool
	// isolatedSince is when pre-votes without any answer began.
	isolatedSince time.Time
}

func (m *Machine) startPreVote(now time.Time) {
	m.phase = PhasePreVoting
	m.preVote = preVote{
		round:         m.preVote.round + 1,
		deadline:      now.Add(CallTimeout),
		pending:       make(map[string]bool),
		isolatedSince: m.preVote.isolatedSince,
	}
	peers := m.otherPeers()
	for _, p := range peers {
		m.preVote.pending[p] = true
	}
	if len(peers) > 0 {
		m.act(RequestPreVotes{Round: m.preVote.round, Peers: peers, Term: m.highest + 1})
	}
}

// otherPeers returns the other candidates and the known owner.
func (m *Machine) otherPeers() []string {
	var peers []string
	for _, p := range append(slices.Clone(m.candidates), m.owner.Address) {
		if p != "" && p != m.cfg.Address && !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	return peers
}

func (m *Machine) preVoted(e PreVoteAnswered) {
	if !e.Failed {
		m.highest = max(m.highest, e.HighestTerm)
	}
	if m.phase != PhasePreVoting || e.Round != m.preVote.round || !m.preVote.pending[e.Peer] {
		return
	}
	delete(m.preVote.pending, e.Peer)
	if !e.Failed {
		m.preVote.answered = true
		m.preVote.alive = m.preVote.alive || e.OwnerAlive
	}
}

func (m *Machine) drivePreVote(now time.Time) {
	v := &m.preVote
	switch {
	case v.alive:
		v.isolatedSince = time.Time{}
		m.phase = PhaseWatching
		m.retryAt = now.Add(RecheckDelay)
	case len(v.pending) > 0 && now.Before(v.deadline):
	case m.waitsIsolated(now):
		m.phase = PhaseWatching
		m.retryAt = now.Add(RecheckDelay)
	default:
		v.isolatedSince = time.Time{}
		m.startSurvey(now)
	}
}

// waitsIsolated reports whether a candidate that reached no peer waits longer,
// because it may be the one that is cut off.
func (m *Machine) waitsIsolated(now time.Time) bool {
	v := &m.preVote
	if v.answered || len(m.otherPeers()) == 0 {
		return false
	}
	if v.isolatedSince.IsZero() {
		v.isolatedSince = now
	}
	return now.Sub(v.isolatedSince) < IsolatedDelay
}
