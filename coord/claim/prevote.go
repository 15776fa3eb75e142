package claim

import (
	"slices"
	"time"
)

// preVote is the state of PhasePreVoting.
type preVote struct {
	round      uint64
	deadline   time.Time
	pending    map[string]bool
	answered   bool
	ownerAlive bool
	// isolatedSince is the start of the first of the consecutive pre-votes that no peer
	// answered; zero if a peer answered the last one.
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
		m.emit(RequestPreVotes{Round: m.preVote.round, Peers: peers, Term: m.highestTerm + 1})
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

func (m *Machine) handlePreVoteAnswer(e PreVoteAnswered) {
	if !e.Failed {
		m.highestTerm = max(m.highestTerm, e.HighestTerm)
	}
	if m.phase != PhasePreVoting || e.Round != m.preVote.round || !m.preVote.pending[e.Peer] {
		return
	}
	delete(m.preVote.pending, e.Peer)
	if !e.Failed {
		m.preVote.answered = true
		m.preVote.ownerAlive = m.preVote.ownerAlive || e.OwnerAlive
	}
}

func (m *Machine) drivePreVote(now time.Time) {
	v := &m.preVote
	switch {
	case v.ownerAlive:
		v.isolatedSince = time.Time{}
		m.phase = PhaseWatching
		m.retryAt = now.Add(RecheckDelay)
	case len(v.pending) > 0 && now.Before(v.deadline):
	case m.waitsWhileIsolated(now):
		m.phase = PhaseWatching
		m.retryAt = now.Add(RecheckDelay)
	default:
		v.isolatedSince = time.Time{}
		m.startSurvey(now)
	}
}

// waitsWhileIsolated reports whether this daemon should wait because no peer answered
// its pre-vote: it may itself be the one that is cut off. It waits for IsolatedDelay at
// most.
func (m *Machine) waitsWhileIsolated(now time.Time) bool {
	v := &m.preVote
	if v.answered || len(m.otherPeers()) == 0 {
		return false
	}
	if v.isolatedSince.IsZero() {
		v.isolatedSince = now
	}
	return now.Sub(v.isolatedSince) < IsolatedDelay
}
