package quota

import (
	"math"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

const (
	// RoleDelay is the time for which a host must have known that it is a lender before it
	// lends. It is the longest time for which another host may act on an older electorate.
	RoleDelay = permission.Duration
	// maxLenders is the number of lenders of a team. The loss of one of three leaves two thirds
	// of the limit, which is above the usual traffic of a team.
	maxLenders = 3
	// minTokenLife and maxTokenLife limit how long a borrowed token may be kept. A token must
	// outlive the call by which it is borrowed; one that is kept for longer than a few seconds
	// is withheld from other hosts in vain.
	minTokenLife = 300 * time.Millisecond
	maxTokenLife = 3 * time.Second
	// reserveShare is the part of what the rules allow beyond the limit itself that token
	// lifetimes may use up. The rest covers the drift of clocks.
	reserveShare = 0.8
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
	// life is how long a borrowed token may be kept.
	life time.Duration
}

// terms returns the terms for a limit. A token that was lent at time g is used by g+life, so
// that the operations of one window were lent within Window+life.
func (r Rules) terms(l Limit) terms {
	allowed, window := r.Allowed(l), r.Window.Seconds()
	t := terms{lenders: maxLenders, rate: l.Rate, capacity: wholeTokens(l.Burst, maxLenders)}
	spare := func() float64 { return allowed - l.Rate*window - t.capacity }
	if spare() < (1-reserveShare)*(allowed-l.Rate*window-l.Burst) {
		// Too little is allowed for a token at each of several lenders.
		t.lenders, t.capacity = 1, wholeTokens(l.Burst, 1)
	}
	if spare() < 0 {
		t.capacity = max(allowed-l.Rate*window, 0)
	}
	t.life = maxTokenLife
	if l.Rate > 0 {
		seconds := min(reserveShare*spare()/l.Rate, maxTokenLife.Seconds())
		t.life = max(time.Duration(seconds*float64(time.Second)), minTokenLife)
	}
	t.rate = min(l.Rate, max(allowed-t.capacity, 0)/(window+t.life.Seconds()))
	return t
}

// wholeTokens returns the capacity of all buckets together for a burst. A bucket that never
// holds a whole token could lend none.
func wholeTokens(burst float64, lenders int) float64 { return math.Max(burst, float64(lenders)) }
