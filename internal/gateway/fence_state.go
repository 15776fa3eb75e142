package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// FenceState defines which primaries must not be used because they are being replaced.
// If several claims are known, the one with the highest version counts.
type FenceState struct {
	// Term is the newest term whose primary is being replaced.
	Term uint64
	// Version is the version of the claim's row in the store.
	Version uint64
	// Withdrawn means that the failover was aborted without a promotion, so the primary
	// of the term remains in use unless the term has ended.
	Withdrawn bool
	// EndedTerm is the newest term that has ended: no host uses a primary of it or of an
	// earlier term, nor will again.
	EndedTerm uint64
}

// fencedTerm returns the newest term whose primary must not be used.
func (f FenceState) fencedTerm() uint64 {
	if f.Withdrawn {
		return f.EndedTerm
	}
	return max(f.Term, f.EndedTerm)
}

// follows reports whether all terms before the given one have ended. Without a claim, no
// primary has been replaced.
func (f FenceState) follows(term uint64) bool {
	return f.Version == 0 || term <= f.EndedTerm+1
}

// fenceSource says how a host learned of a claim.
type fenceSource string

const (
	fenceFromHolder fenceSource = "claim holder"
	fenceFromRow    fenceSource = "row of the store"
	fenceFromGossip fenceSource = "gossip"
	fenceFromSelf   fenceSource = "own claim"
)

// learnFence applies the claim like setFence and logs it if it is news. The line tells when this
// host last sent a statement to the primary, and until when it was permitted to, in milliseconds
// of the boot clock, which the processes of one machine share. The mutex must be held.
func (g *group) learnFence(f FenceState, now time.Time, source fenceSource) {
	if !g.setFence(f, now) {
		return
	}
	f = g.fence
	g.pool.log.Info().Str("group", g.name).Uint64("claim", f.Version).Uint64("claim_term", f.Term).Uint64("ended_term", f.EndedTerm).
		Bool("withdrawn", f.Withdrawn).Str("source", string(source)).Str("primary", g.primary).Uint64("term", g.term).Bool("fenced", g.fenced()).
		Int64("boot_ms", boottime.Milliseconds(now)).Int64("permitted_until_boot_ms", boottime.Milliseconds(g.pool.permittedUntil())).
		Int64("last_sent_boot_ms", boottime.Milliseconds(g.lastPrimarySend.at)).Str("last_sent_to", g.lastPrimarySend.endpoint).
		Uint64("last_sent_term", g.lastPrimarySend.term).Msg("claim known")
}

// setFence applies the claim if it is newer than the known one, and reports whether it is. That a
// term has ended counts whatever the version. The mutex must be held.
func (g *group) setFence(f FenceState, now time.Time) bool {
	if f.Version <= g.fence.Version {
		if f.EndedTerm <= g.fence.EndedTerm {
			return false
		}
		ended := f.EndedTerm
		f = g.fence
		f.EndedTerm = ended
	}
	older := rows.Era(f.Version) > rows.Era(g.fence.Version) || f.Term < g.fence.Term
	if older && f.fencedTerm() < g.fence.fencedTerm() {
		// The store has lost the known claim, whose holder may have ordered a promotion. Only
		// the withdrawal of that claim lifts its fence.
		f.Term, f.Withdrawn = g.fence.fencedTerm(), false
	}
	f.EndedTerm = max(f.EndedTerm, g.fence.EndedTerm)
	f.Term = max(f.Term, f.EndedTerm)
	g.fence, g.fencedAt = f, now
	g.closeFencedWorkLater(now)
	g.notify()
	return true
}

// fenced reports whether the newest known primary must not be used because it is being
// replaced. The mutex must be held.
func (g *group) fenced() bool { return g.term <= g.fence.fencedTerm() }

// unclaimed reports whether the newest known primary was promoted while an earlier term had
// not ended, so that other hosts may still use a primary of that term. The mutex must be
// held.
func (g *group) unclaimed() bool { return !g.fenced() && !g.fence.follows(g.term) }

// primaryInForce reports whether the newest known primary is the only one that any host with a
// permission uses. The mutex must be held.
func (g *group) primaryInForce() bool { return !g.fenced() && !g.unclaimed() }
