package manifest

import (
	"slices"
	"strconv"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// addStoreFetch appends a fetch from the store if this daemon polls the store now, or if it
// has no manifest to publish yet and the store is due.
func (t *Tracker) addStoreFetch(now time.Time, fetches []Fetch) []Fetch {
	if t.inFlight[Store] {
		return fetches
	}
	if !t.IsPoller(now) && (t.CanPublish(now) || !t.startup.storeDue(now)) {
		return fetches
	}
	t.inFlight[Store] = true
	return append(fetches, Fetch{From: Store, Since: t.generation})
}

// IsPoller reports whether this daemon's host is one of the PollerCount hosts that poll the
// store in the epoch of now. Peers that did not answer this daemon recently are left out,
// so that the remaining hosts poll more often if most hosts are down.
func (t *Tracker) IsPoller(now time.Time) bool {
	epoch := now.UnixNano() / int64(PollerEpoch)
	for _, h := range placement.Rank("manifest-poller/"+strconv.FormatInt(epoch, 10), t.responsiveHosts(), PollerCount) {
		if h.Name == t.self {
			return true
		}
	}
	return false
}

// nextPeers returns n neighbours, and goes through all neighbours in turn. Unresponsive
// hosts are neighbours only if too few others are left.
func (t *Tracker) nextPeers(now time.Time, n int) []placement.Host {
	hosts := t.responsiveHosts()
	if len(hosts) <= NeighbourCount {
		hosts = t.hosts
	}
	neighbours := placement.Neighbours(t.self, now, hosts, NeighbourCount)
	next := make([]placement.Host, 0, n)
	for range min(n, len(neighbours)) {
		next = append(next, neighbours[t.nextNeighbour%uint64(len(neighbours))])
		t.nextNeighbour++
	}
	return next
}

// responsiveHosts returns the hosts without those that did not answer recently.
func (t *Tracker) responsiveHosts() []placement.Host {
	if len(t.failedAt) == 0 {
		return t.hosts
	}
	return slices.DeleteFunc(slices.Clone(t.hosts), func(h placement.Host) bool {
		_, down := t.failedAt[h.Address]
		return down
	})
}

// addPeerFetch appends a fetch from a peer, unless one is in flight already, the peer
// failed recently, or too many fetches are in flight.
func (t *Tracker) addPeerFetch(now time.Time, address string, fetches []Fetch) []Fetch {
	from := Source{Peer: address}
	if address == "" || t.inFlight[from] || t.failedRecently(now, address) || t.peerFetches() >= maxPeerFetches {
		return fetches
	}
	t.inFlight[from] = true
	return append(fetches, Fetch{From: from, Since: t.generation})
}

// failedRecently reports whether a fetch from the peer failed within peerRetryDelay.
func (t *Tracker) failedRecently(now time.Time, address string) bool {
	at, failed := t.failedAt[address]
	return failed && now.Sub(at) < peerRetryDelay
}

// peerFetches returns the number of fetches from peers that are in flight.
func (t *Tracker) peerFetches() int {
	n := len(t.inFlight)
	if t.inFlight[Store] {
		n--
	}
	return n
}

// catchUp returns a fetch from the peer with the highest known generation, if that is above
// the current one.
func (t *Tracker) catchUp(now time.Time) []Fetch {
	best, ahead := "", t.generation
	for p, g := range t.peersAhead {
		blocked := t.inFlight[Source{Peer: p}] || t.failedRecently(now, p)
		if !blocked && (g > ahead || g == ahead && g > t.generation && p < best) {
			best, ahead = p, g
		}
	}
	return t.addPeerFetch(now, best, nil)
}

// forgetStale removes peers that are no longer ahead, and failures that are older than
// peerDownTime.
func (t *Tracker) forgetStale(now time.Time) {
	for p, g := range t.peersAhead {
		if g <= t.generation {
			delete(t.peersAhead, p)
		}
	}
	for p, at := range t.failedAt {
		if now.Sub(at) >= peerDownTime {
			delete(t.failedAt, p)
		}
	}
}
