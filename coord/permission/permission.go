// Package permission decides until when a host may use the primaries that it
// knows, without hearing from whoever might replace them.
//
// A host that replaces a primary first writes a claim to the store and then has
// it acknowledged by a majority of the hosts; it waits for Duration before the
// promotion unless every other host has acknowledged or is known not to run. A
// host may therefore use a primary as long as it has, within Duration,
//
//   - read the claims from the store, or got them from a host that had, or
//   - had an answer from a majority of the hosts.
//
// In the first case it has seen every claim that was written more than Duration
// ago. In the second, one of the hosts that answered had acknowledged the claim
// and told of it. Either way it has stopped before the promotion takes effect.
// Times are those at which calls began, by a clock that counts pauses of the
// host, so that late answers and pauses only shorten a permission.
package permission

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
)

// Duration is how long a permission lasts. It allows for several missed rounds of
// news between hosts, and is what a failover waits if a host does not answer.
const Duration = 1500 * time.Millisecond

// Until returns when the permission ends. claims is the time as of which every
// claim is known; answered holds for each other host when the last call began that
// it answered, or that showed that it does not run; the slice is sorted in place.
func Until(claims time.Time, answered []time.Time) time.Time {
	at := claims
	if m := majorityAt(answered); m.After(at) {
		at = m
	}
	if at.IsZero() {
		return at
	}
	return at.Add(Duration)
}

// majorityAt returns the newest time since which a majority has answered. A host
// alone is a majority of itself, but nothing shows that it is alone; it relies on
// the store.
func majorityAt(answered []time.Time) time.Time {
	others := lease.Majority(len(answered)+1) - 1
	if others == 0 {
		return time.Time{}
	}
	return lease.NthNewest(answered, others)
}
