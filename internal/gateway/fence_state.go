package gateway

import "time"

// FenceState defines which primaries must not be used because they are being replaced.
// If several claims are known, the one with the highest version counts.
type FenceState struct {
	// Term is the newest term whose primary is being replaced.
	Term uint64
	// Version is the version of the claim's row in the store.
	Version uint64
	// Withdrawn means that the failover was aborted without a promotion, so the primary
	// of the term remains in use.
	Withdrawn bool
}

// fencedTerm returns the newest term whose primary must not be used.
func (f FenceState) fencedTerm() uint64 {
	if f.Withdrawn && f.Term > 0 {
		return f.Term - 1
	}
	return f.Term
}

// setFence applies the claim if it is newer than the known one. The mutex must be held.
func (g *group) setFence(f FenceState, now time.Time) {
	if f.Version <= g.fence.Version {
		return
	}
	g.fence, g.fencedAt = f, now
	g.pool.log.Info().Str("group", g.name).Uint64("claim", f.Version).Uint64("claim_term", f.Term).Bool("withdrawn", f.Withdrawn).
		Str("primary", g.primary).Uint64("term", g.term).Bool("fenced", g.fenced()).Msg("claim known")
	g.notify()
}

// fenced reports whether the newest known primary must not be used. The mutex must be
// held.
func (g *group) fenced() bool { return g.term <= g.fence.fencedTerm() }
