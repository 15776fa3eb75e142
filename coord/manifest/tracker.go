// Package manifest tracks the generation of the manifest that a daemon holds. It
// decides when to fetch, from which peer, when this daemon polls the store, and
// when the first manifest may be published.
//
// It is a pure state machine: events and a time are the input, fetches are the
// output. Guarantees: the generation never decreases; a source that fails or
// answers with an old generation has no effect on it.
package manifest

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// Tracker is the state of one daemon. It is not safe for concurrent use.
type Tracker struct {
	self  string
	hosts []placement.Host

	generation uint64
	// turn counts the neighbours that were asked.
	turn uint64
	// seen holds the generations of peers that were ahead when last heard of.
	seen map[string]uint64
	// failed holds when the last fetch from a peer failed, until one succeeds or
	// downTime has passed.
	failed map[string]time.Time
	// inFlight holds the fetches that were not answered yet.
	inFlight map[Source]bool
	start    start
}

// NewTracker returns the tracker of the host with this name.
func NewTracker(self string) *Tracker {
	return &Tracker{
		self:     self,
		seen:     make(map[string]uint64),
		failed:   make(map[string]time.Time),
		inFlight: make(map[Source]bool),
	}
}

// SetHosts replaces the hosts among which pollers and peers are chosen.
func (t *Tracker) SetHosts(hosts []placement.Host) {
	t.hosts = hosts
}

// Generation returns the highest generation that was accepted; 0 if none.
func (t *Tracker) Generation() uint64 { return t.generation }

// Tick is called once a second. It returns the fetches to start.
func (t *Tracker) Tick(now time.Time) []Fetch {
	t.forget(now)
	n := PeersPerTick
	if !t.CanPublish(now) {
		n = startPeers
	}
	fetches := t.fetchStore(now, nil)
	for _, p := range t.nextPeers(now, n) {
		fetches = t.fetchPeer(now, p.Address, fetches)
	}
	t.start.record(fetches)
	return fetches
}

// Observe is called with the generation that a peer names in any message. It
// returns the fetches to start.
func (t *Tracker) Observe(now time.Time, peer string, generation uint64) []Fetch {
	if generation <= t.generation {
		return nil
	}
	if _, known := t.seen[peer]; known || len(t.seen) < maxSeen {
		t.seen[peer] = max(generation, t.seen[peer])
	}
	return t.catchUp(now)
}

// Answered is called when a source answered with the manifest of a generation,
// which was verified; 0 if it has none. It reports whether the manifest is newer
// than the one held and takes its place.
func (t *Tracker) Answered(now time.Time, from Source, generation uint64) (accepted bool) {
	delete(t.inFlight, from)
	t.start.answered(from, generation)
	delete(t.seen, from.Peer)
	delete(t.failed, from.Peer)
	if generation <= t.generation {
		return false
	}
	t.generation = generation
	t.start.held(now)
	return true
}

// Failed is called when a fetch failed or its content was not valid. It returns
// the fetches to start instead.
func (t *Tracker) Failed(now time.Time, from Source) []Fetch {
	delete(t.inFlight, from)
	t.start.failed(from)
	if from == Store {
		return nil
	}
	delete(t.seen, from.Peer)
	t.failed[from.Peer] = now
	return t.catchUp(now)
}

// CanPublish reports whether the manifest held may be published. The first one
// waits until the store answered, or everyone asked has answered or failed, or
// StartTimeout has passed since a manifest is held: a single peer may be behind.
func (t *Tracker) CanPublish(now time.Time) bool {
	return t.generation > 0 && t.start.over(now)
}
