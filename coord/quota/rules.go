package quota

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

const (
	// RoleDelay is the time for which a host must have known that it is a lender before it
	// lends. It is the longest time for which another host may act on an older electorate.
	RoleDelay = permission.Duration
	// maxLenders is the number of lenders of a team. The loss of one of three leaves two thirds
	// of what is allowed, which is above the usual traffic of a team.
	maxLenders = 3
	// tokenLife is how long a token may be kept that an operation waits for. It must outlive the
	// call by which it is borrowed, also one to a busy host: with 100 ms, a team over its limit
	// is served 0.8 of it if calls take up to 120 ms. A longer life lowers the rate.
	tokenLife = 125 * time.Millisecond
	// advanceLife is how long a token may be kept that was borrowed in advance. One that is kept
	// for longer is withheld from other hosts in vain.
	advanceLife = 2 * time.Second
	// burstShare is the part of what is allowed in a window that may be used at once. The rest is
	// spread over the window, so that a lender that starts with an empty bucket adds up with its
	// predecessor. A larger part lowers the rate that a team can use all the time: a team over
	// its limit is served 0.86 of it with 0.1 and a tokenLife of 200 ms.
	burstShare = 0.012
	// tokensPerLender is the smallest capacity of a bucket; with less, two operations of a small
	// team at the same time would be refused.
	tokensPerLender = 2
	// roundingReserve keeps rounding errors from exceeding what is allowed.
	roundingReserve = 0.001
)

// Limit is the limit of one team.
type Limit struct {
	// Rate is in operations a second, Burst in operations.
	Rate, Burst float64
}

// Rules define when a limit counts as exceeded.
type Rules struct {
	// Window is the length of the sliding window in which operations are counted.
	Window time.Duration
	// Overage is the share by which the operations in a window may exceed the limit, Slack the
	// number of operations by which they may exceed it in addition.
	Overage, Slack float64
}

// Allowed returns how many operations of a team may be sent in any window.
func (r Rules) Allowed(l Limit) float64 {
	return (l.Rate*r.Window.Seconds()+l.Burst)*(1+r.Overage) + r.Slack
}

// terms are the terms on which the tokens of a team are lent.
type terms struct {
	// lenders is the number of lenders.
	lenders int
	// rate and capacity are those of the buckets of all lenders together.
	rate, capacity float64
}

// terms returns the terms for a limit. They depend only on what is allowed in a window: a team
// may use that all the time, in any distribution that the capacity permits. A token that was lent
// at time g is used by g+tokenLife, so that the operations of one window were lent within
// Window+tokenLife. Tokens that were borrowed in advance count against the capacity until they
// expire.
func (r Rules) terms(l Limit) terms {
	if l.Rate <= 0 && l.Burst <= 0 {
		return terms{lenders: 1}
	}
	allowed := r.Allowed(l) * (1 - roundingReserve)
	t := terms{lenders: maxLenders, capacity: max(burstShare*allowed, maxLenders*tokensPerLender)}
	if t.capacity > allowed/2 {
		// Too little is allowed for several buckets.
		t.lenders, t.capacity = 1, min(max(burstShare*allowed, 1), allowed)
	}
	t.rate = (allowed - t.capacity) / (r.Window + tokenLife).Seconds()
	return t
}
