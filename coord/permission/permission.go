// Package permission decides until when a host may use the primaries that it knows. The
// permission is a lease: it ends before another host can have replaced a primary without
// this host's knowledge.
//
// A host that replaces a primary first writes a claim record to the store. Then a
// majority of the hosts must acknowledge the claim. Before the promotion, the host waits
// for Duration, unless every other host has acknowledged the claim or is known not to
// run. A host may therefore use a primary as long as it has, within Duration,
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
// on. In all cases the host has stopped using the primary before the promotion takes
// effect. Relayed evidence lets a few hosts ask the majority for all others, so that the
// number of calls grows with the number of hosts and not with its square.
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

// Until returns when the permission ends; zero if there is none. claims is the time as of
// which this host knows every claim, from the store or from relayed evidence. answered has
// an entry for each other host: the start of the last call that the host answered, or that
// showed that it does not run. The slice is sorted in place.
func Until(claims time.Time, answered []time.Time) time.Time {
	at := claims
	if m := majorityAnsweredAt(answered); m.After(at) {
		at = m
	}
	if at.IsZero() {
		return at
	}
	return at.Add(Duration)
}

// majorityAnsweredAt returns the latest time since which a majority of all hosts, this
// one included, has answered. It returns zero if no other host is known: this host would
// be a majority by itself, but it may not know of the others, so that it needs the store.
func majorityAnsweredAt(answered []time.Time) time.Time {
	needed := lease.Majority(len(answered)+1) - 1
	if needed == 0 {
		return time.Time{}
	}
	return lease.NthNewest(answered, needed)
}
