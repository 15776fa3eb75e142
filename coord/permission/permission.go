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
// which this host knows every claim, from the store or from relayed evidence. Without a set
// of voters only the claims count.
func Until(claims time.Time, sets ...Voters) time.Time {
	at := claims
	if m := majorityAnsweredAt(sets); m.After(at) {
		at = m
	}
	if at.IsZero() {
		return at
	}
	return at.Add(Duration)
}

// majorityAnsweredAt returns the latest time since which a majority of each set has
// answered. It returns zero if no other host needs to answer, so that a single host needs
// the store.
func majorityAnsweredAt(sets []Voters) time.Time {
	var oldest time.Time
	for _, set := range sets {
		at := set.majorityAnsweredAt()
		if at.IsZero() {
			return at
		}
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// majorityAnsweredAt returns the latest time since which a majority of the set has
// answered.
func (v Voters) majorityAnsweredAt() time.Time {
	size, needed := len(v.Answered), 0
	if v.Self {
		size, needed = size+1, -1
	}
	needed += lease.Majority(size)
	if needed == 0 {
		return time.Time{}
	}
	return lease.NthNewest(v.Answered, needed)
}
