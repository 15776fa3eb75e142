package succession

import "time"

const (
	// UnreachableTimeout is how long a primary must have been unreachable before it
	// is replaced. It is above the time of one failed probe, so that a single lost
	// connection does not cost a change of primary.
	UnreachableTimeout = 250 * time.Millisecond
	// ConfirmLost is how long no endpoint may have claimed to lead before one is
	// chosen. Primaries are found within one round of status requests.
	ConfirmLost = 400 * time.Millisecond
	// RankDelay is the time that each rank waits for the hosts before it. It is
	// above the time that a host needs until its claim is known to the others.
	RankDelay = 700 * time.Millisecond
	// StalledFence is the age of a claim that has led to no primary, after which
	// another host may take over. A change of primary takes the platform's promotion
	// time and a few round trips.
	StalledFence = 2500 * time.Millisecond
	// ConfirmUnknown replaces ConfirmLost for a host that has just started: endpoints
	// may take seconds to be listed when everything starts at once.
	ConfirmUnknown = 3 * time.Second
	// Cooldown is the pause after an attempt that was given up.
	Cooldown = 800 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// Reasons of a replacement. ReasonNone means that nothing is to be done.
const (
	ReasonNone        Reason = ""
	ReasonDraining    Reason = "draining"
	ReasonUnreachable Reason = "unreachable"
	ReasonLost        Reason = "lost"
	ReasonStalled     Reason = "stalled"
)

// Planned reports whether the old primary still serves, so that the change may
// wait for its work and its log.
func (r Reason) Planned() bool { return r == ReasonDraining }

// ReplacesLive reports whether a primary that answers is replaced all the same. A stalled
// claim has fenced it, and its holder may have ordered a promotion that is yet to take
// effect, so that the use of the primary must not resume.
func (r Reason) ReplacesLive() bool { return r.Planned() || r == ReasonStalled }

// View is what a host has seen of one group. Zero times mean that the condition
// does not hold.
type View struct {
	Now time.Time
	// DrainingSince is when the primary began to leave.
	DrainingSince time.Time
	// UnreachableSince is when the first of an unbroken series of probes of the
	// primary failed.
	UnreachableSince time.Time
	// LostSince is when no endpoint was known to lead any more, or since when one is
	// looked for.
	LostSince time.Time
	// FencedAt is when a change of the present primary began, whoever began it.
	FencedAt time.Time
	// GaveUpAt is when this host last gave up a change.
	GaveUpAt time.Time
	// Rank is the number of live hosts that go before this one.
	Rank int
	// NeverSawPrimary means that this host has never known a primary of the group.
	NeverSawPrimary bool
	// HoldsClaim means that this host began the change of the present primary.
	HoldsClaim bool
	// Successors is the number of endpoints that could lead.
	Successors int
}

// NeedsNoChange reports whether no condition holds, so that Decide returns ReasonNone
// whatever the rank is.
func (v View) NeedsNoChange() bool {
	return v.DrainingSince.IsZero() && v.UnreachableSince.IsZero() && v.LostSince.IsZero() && v.FencedAt.IsZero()
}

// Decide returns why this host should replace the primary now.
func Decide(v View) Reason {
	if v.Successors == 0 || v.NeedsNoChange() || !v.GaveUpAt.IsZero() && v.Now.Sub(v.GaveUpAt) < Cooldown {
		return ReasonNone
	}
	turn := time.Duration(v.Rank) * RankDelay
	if !v.FencedAt.IsZero() {
		if v.HoldsClaim || holds(v.Now, v.FencedAt, StalledFence+turn) {
			return ReasonStalled
		}
		return ReasonNone
	}
	lost := ConfirmLost
	if v.NeverSawPrimary {
		lost = ConfirmUnknown
	}
	switch {
	case holds(v.Now, v.UnreachableSince, UnreachableTimeout+turn):
		return ReasonUnreachable
	case holds(v.Now, v.LostSince, lost+turn):
		return ReasonLost
	case holds(v.Now, v.DrainingSince, turn):
		return ReasonDraining
	}
	return ReasonNone
}

// holds reports whether a condition has held for the time.
func holds(now, since time.Time, least time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= least
}
