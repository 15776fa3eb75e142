package gateway

import "time"

// FenceState says which primaries must not be used, because they are being
// replaced. The claim with the newest version decides.
type FenceState struct {
	// Term is the newest term whose primary is replaced.
	Term uint64
	// Version is the claim's version in the store.
	Version uint64
	// Withdrawn means that the claim was given up before a promotion was ordered, so
	// that the primary of the term stays.
	Withdrawn bool
}

// term returns the newest term whose primary must not be used.
func (f FenceState) term() uint64 {
	if f.Withdrawn && f.Term > 0 {
		return f.Term - 1
	}
	return f.Term
}

// setFence takes a newer claim. The mutex must be held.
func (g *group) setFence(f FenceState, now time.Time) {
	if f.Version <= g.fence.Version {
		return
	}
	g.fence, g.fencedAt = f, now
	g.notify()
}

// fenced reports whether the newest known primary is being replaced. The mutex
// must be held.
func (g *group) fenced() bool { return g.term <= g.fence.term() }
