package manifest

import (
	"slices"
	"strconv"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// fetchStore adds a fetch from the store if this host polls it now.
func (t *Tracker) fetchStore(now time.Time, fetches []Fetch) []Fetch {
	if t.inFlight[Store] {
		return fetches
	}
	if !t.Poller(now) && (t.CanPublish(now) || !t.start.storeDue(now)) {
		return fetches
	}
	t.inFlight[Store] = true
	return append(fetches, Fetch{From: Store, Since: t.generation})
}

// Poller reports whether this host is one of the Pollers hosts that poll the
// store in the epoch of now. Peers that did not answer this host lately do not
// count: if most hosts are down, those that are left poll more often.
func (t *Tracker) Poller(now time.Time) bool {
	epoch := now.UnixNano() / int64(PollerEpoch)
	for _, h := range placement.Rank("manifest-poller/"+strconv.FormatInt(epoch, 10), t.up(), Pollers) {
		if h.Name == t.self {
			return true
		}
	}
	return false
}

// nextPeers returns n of the neighbours, each in its turn. Hosts that failed are
// chosen again if too few others are left.
func (t *Tracker) nextPeers(now time.Time, n int) []placement.Host {
	hosts := t.up()
	if len(hosts) <= Neighbours {
		hosts = t.hosts
	}
	neighbours := placement.Neighbours(t.self, now, hosts, Neighbours)
	next := make([]placement.Host, 0, n)
	for range min(n, len(neighbours)) {
		next = append(next, neighbours[t.turn%uint64(len(neighbours))])
		t.turn++
	}
	return next
}

// up returns the hosts without those that did not answer lately.
func (t *Tracker) up() []placement.Host {
	if len(t.failed) == 0 {
		return t.hosts
	}
	return slices.DeleteFunc(slices.Clone(t.hosts), func(h placement.Host) bool {
		_, down := t.failed[h.Address]
		return down
	})
}

// fetchPeer adds a fetch from a peer unless one is in flight or the peer failed
// a moment ago.
func (t *Tracker) fetchPeer(now time.Time, address string, fetches []Fetch) []Fetch {
	from := Source{Peer: address}
	if address == "" || t.inFlight[from] || t.avoided(now, address) || t.peerFetches() >= maxFetches {
		return fetches
	}
	t.inFlight[from] = true
	return append(fetches, Fetch{From: from, Since: t.generation})
}

// avoided reports whether the peer failed a moment ago.
func (t *Tracker) avoided(now time.Time, address string) bool {
	at, failed := t.failed[address]
	return failed && now.Sub(at) < avoidTime
}

// peerFetches returns the number of fetches from peers in flight.
func (t *Tracker) peerFetches() int {
	n := len(t.inFlight)
	if t.inFlight[Store] {
		n--
	}
	return n
}

// catchUp fetches from the peer that is furthest ahead.
func (t *Tracker) catchUp(now time.Time) []Fetch {
	best, ahead := "", t.generation
	for p, g := range t.seen {
		blocked := t.inFlight[Source{Peer: p}] || t.avoided(now, p)
		if !blocked && (g > ahead || g == ahead && g > t.generation && p < best) {
			best, ahead = p, g
		}
	}
	return t.fetchPeer(now, best, nil)
}

// forget drops peers that are not ahead any more and times that have passed.
func (t *Tracker) forget(now time.Time) {
	for p, g := range t.seen {
		if g <= t.generation {
			delete(t.seen, p)
		}
	}
	for p, at := range t.failed {
		if now.Sub(at) >= downTime {
			delete(t.failed, p)
		}
	}
}
