package succession

import "time"

const (
	// UnreachableTimeout is how long a primary must have been unreachable before it is
	// replaced. It is longer than one failed probe takes, so that a single lost
	// connection does not cause a failover.
	UnreachableTimeout = 250 * time.Millisecond
	// LostTimeout is the time after which a new primary is promoted if no endpoint reports
	// that it is the primary. One round of status requests finds an existing primary.
	LostTimeout = 400 * time.Millisecond
	// RankDelay is how much longer each host waits than the one ranked before it. It is
	// longer than it takes until a host's claim is known to the others.
	RankDelay = 700 * time.Millisecond
	// UnclaimedTimeout is how long this host must know a primary that no claim has prepared
	// before it ends the earlier terms. It allows for a claim that arrives after the report of
	// the primary.
	UnclaimedTimeout = 400 * time.Millisecond
	// StalledClaimTimeout is the age at which a claim without a new primary may be taken
	// over by another host. A failover takes the platform's promotion time and a few
	// round trips.
	StalledClaimTimeout = 2500 * time.Millisecond
	// StartupLostTimeout replaces LostTimeout for a host that has not seen a primary since
	// it started: it may take seconds until endpoints are listed when everything starts
	// at once.
	StartupLostTimeout = 3 * time.Second
	// Cooldown is the pause after this host aborted a failover.
	Cooldown = 800 * time.Millisecond
)

// Reason says why a primary is replaced.
type Reason string

// Reasons for a failover. ReasonNone means that the primary is not replaced.
const (
	ReasonNone        Reason = ""
	ReasonDraining    Reason = "draining"
	ReasonUnreachable Reason = "unreachable"
	ReasonLost        Reason = "lost"
	ReasonStalled     Reason = "stalled"
	// ReasonUnclaimed ends the terms before that of a primary that was promoted without a
	// claim on them. The primary is not replaced.
	ReasonUnclaimed Reason = "unclaimed"
)

// Planned reports whether the old primary still serves, so that the failover may wait until
// its work has ended and a replica has its whole log.
func (r Reason) Planned() bool { return r == ReasonDraining }

// ReplacesLive reports whether the primary is replaced even if it answers. After a stalled
// claim, the primary is fenced and must not be used again, since the holder of the claim
// may have ordered a promotion that has not taken effect yet.
func (r Reason) ReplacesLive() bool { return r.Planned() || r == ReasonStalled }

// View is what one host knows about one group. A zero time means that the condition does
// not hold.
type View struct {
	Now time.Time
	// DrainingSince is when the primary began to drain.
	DrainingSince time.Time
	// UnreachableSince is when the first of the consecutive failed probes of the primary
	// began.
	UnreachableSince time.Time
	// LostSince is when the last known primary was lost, or when this host began to look
	// for one.
	LostSince time.Time
	// FencedAt is when this or another host claimed the replacement of the current
	// primary, which has been fenced since then.
	FencedAt time.Time
	// UnclaimedSince is when this host found that the primary was promoted although earlier
	// terms had not ended.
	UnclaimedSince time.Time
	// AbortedAt is when this host last aborted a failover.
	AbortedAt time.Time
	// Rank is the number of live hosts that are ranked before this one.
	Rank int
	// NeverSawPrimary means that this host has never known a primary of the group.
	NeverSawPrimary bool
	// HoldsClaim means that this host claimed the replacement of the current primary.
	HoldsClaim bool
	// Successors is the number of other endpoints that could become the primary. After a
	// stalled claim, the present primary may lead a new term if there is none.
	Successors int
}

// NeedsNoFailover reports whether no condition for a failover holds, so that Decide
// returns ReasonNone whatever Rank is.
func (v View) NeedsNoFailover() bool {
	return v.DrainingSince.IsZero() && v.UnreachableSince.IsZero() && v.LostSince.IsZero() && v.FencedAt.IsZero() && v.UnclaimedSince.IsZero()
}

// Decide returns why this host should replace the primary now, or ReasonNone if it should
// not.
func Decide(v View) Reason {
	if v.NeedsNoFailover() || !v.AbortedAt.IsZero() && v.Now.Sub(v.AbortedAt) < Cooldown {
		return ReasonNone
	}
	rankDelay := time.Duration(v.Rank) * RankDelay
	if heldFor(v.Now, v.UnclaimedSince, UnclaimedTimeout+rankDelay) {
		return ReasonUnclaimed
	}
	if !v.FencedAt.IsZero() {
		if v.HoldsClaim || heldFor(v.Now, v.FencedAt, StalledClaimTimeout+rankDelay) {
			return ReasonStalled
		}
		return ReasonNone
	}
	if v.Successors == 0 {
		return ReasonNone
	}
	lostTimeout := LostTimeout
	if v.NeverSawPrimary {
		lostTimeout = StartupLostTimeout
	}
	switch {
	case heldFor(v.Now, v.UnreachableSince, UnreachableTimeout+rankDelay):
		return ReasonUnreachable
	case heldFor(v.Now, v.LostSince, lostTimeout+rankDelay):
		return ReasonLost
	case heldFor(v.Now, v.DrainingSince, rankDelay):
		return ReasonDraining
	}
	return ReasonNone
}

// heldFor reports whether a condition has held since the given time for at least the
// duration.
func heldFor(now, since time.Time, least time.Duration) bool {
	return !since.IsZero() && now.Sub(since) >= least
}
