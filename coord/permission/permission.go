// Package permission decides until when a host may use the primaries that it knows. The
// permission is a lease: it ends before another host can have replaced a primary without
// this host's knowledge.
//
// A host that replaces a primary first writes a claim record to the store. Then a
// majority of the hosts must acknowledge the claim. Before the promotion, the host waits
// for Duration, unless every other host has acknowledged the claim. A host may therefore use a primary as long as it has, within Duration,
//
//   - read the claim records from the store, or received them from a host that had read
//     them, or
//   - received an answer from a majority of the hosts, or
//   - received the evidence of another host that one of these conditions holds there,
//     together with the claims that the other host knew.
//
// In the first case it knows every claim that was written more than Duration ago. In the
// second case one of the hosts that answered had acknowledged the claim and reported it.
// In the third case the other host knew the claim by one of the first two and passed it
// on. In all cases the host starts nothing more on the primary once the promotion can take
// effect; what it has started and is unanswered at the end of its permission, it must take
// back. Relayed evidence lets a few hosts ask the majority for all others, so that the number
// of calls grows with the number of hosts and not with its square.
//
// The second case needs a majority of the same hosts on both sides: those of the electorate
// (package electorate). While the electorate changes, a majority of both its sets must
// answer. A refused connection counts on neither side: a network partition may refuse
// connections to a host that still uses the primary.
//
// Answers prove a permission only for a limited time after the last read of the store, MajorityHorizon
// or FullHorizon. Voters that are cut off from the store together would otherwise renew each other's
// permission for ever, and the other hosts could not tell them from voters that are lost. A host
// that does not know a row of the store has therefore no permission after Horizon.
//
// A host that has restarted may have acknowledged a claim before, while others had not yet. Calls
// that it makes until they have done so give it no permission; the caller leaves these out.
//
// A call counts from its start, by a clock that also runs while the host is paused, so
// that late answers and pauses only shorten a permission.
package permission

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
)

// Duration is how long a permission lasts. It allows for several missed rounds of gossip
// between hosts. A failover waits as long if a host does not answer.
const Duration = 1500 * time.Millisecond

// Voters is one set of hosts of which a majority must have answered.
type Voters struct {
	// Self is true if this host is one of them. A host that has restarted is only once it
	// has read the claims again, as it may have acknowledged one before.
	Self bool
	// Answered has an entry for each other host of the set: the start of the last call
	// that the host answered. The slice is sorted in place.
	Answered []time.Time
}

// Until returns when the permission ends; zero if there is none. claims is the time as of
// which this host knows every claim, from the store or from relayed evidence, and stored the
// time as of which it knows every row of the store, by its own read or that of another host.
// Without a set of voters only the claims count.
func Until(claims, stored time.Time, sets ...Voters) time.Time {
	byClaims := lastsFrom(claims)
	if stored.IsZero() {
		return byClaims
	}
	byMajority := earlier(lastsFrom(answeredAt(sets, lease.Majority)), stored.Add(MajorityHorizon))
	byNearlyAll := earlier(lastsFrom(answeredAt(sets, nearlyAll)), stored.Add(FullHorizon))
	return later(byClaims, later(byMajority, byNearlyAll))
}

// lastsFrom returns when a permission ends that rests on knowledge as of the given time; zero if
// that is zero.
func lastsFrom(at time.Time) time.Time {
	if at.IsZero() {
		return at
	}
	return at.Add(Duration)
}

// earlier returns the earlier one of the times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// later returns the later one of the times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// answeredAt returns the latest time since which the needed number of voters of each set has
// answered. It returns zero if no other host needs to answer, so that a single host needs
// the store.
func answeredAt(sets []Voters, needed func(size int) int) time.Time {
	var oldest time.Time
	for _, set := range sets {
		at := set.answeredAt(needed)
		if at.IsZero() {
			return at
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// answeredAt returns the latest time since which the needed number of voters has answered.
func (v Voters) answeredAt(needed func(size int) int) time.Time {
	size, others := len(v.Answered), 0
	if v.Self {
		size, others = size+1, -1
	}
	others += needed(size)
	if others == 0 {
		return time.Time{}
	}
	return lease.NthNewest(v.Answered, others)
}
