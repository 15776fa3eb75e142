// Package manifest tracks the generation of the manifest that a daemon has. It decides when
// the daemon fetches a manifest and from which peer, when it polls the store, and when it
// may publish its first manifest.
//
// It is a pure state machine: events and the time are the input, fetches are the output.
// Guarantees: the generation never decreases; a source that fails or answers with an old
// generation has no effect on it.
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
	// nextNeighbour counts the neighbours that were chosen; modulo their number it is the
	// index of the next one.
	nextNeighbour uint64
	// peersAhead holds the generations of peers that reported a higher generation.
	peersAhead map[string]uint64
	// failedAt holds when the last fetch from a peer failed, until a fetch succeeds or
	// peerDownTime has passed.
	failedAt map[string]time.Time
	// inFlight holds the sources of the fetches that are not answered yet.
	inFlight map[Source]bool
	startup  startup
}

// NewTracker returns the Tracker of the host with this name.
func NewTracker(self string) *Tracker {
	return &Tracker{
		self:       self,
		peersAhead: make(map[string]uint64),
		failedAt:   make(map[string]time.Time),
		inFlight:   make(map[Source]bool),
	}
}

// SetHosts replaces the hosts among which pollers and peers are chosen.
func (t *Tracker) SetHosts(hosts []placement.Host) {
	t.hosts = hosts
}

// Generation returns the highest generation that was accepted; 0 if there is none.
func (t *Tracker) Generation() uint64 { return t.generation }

// Tick must be called once a second. It returns the fetches to start.
func (t *Tracker) Tick(now time.Time) []Fetch {
	t.forgetStale(now)
	n := PeersPerTick
	if !t.CanPublish(now) {
		n = startupPeersPerTick
	}
	fetches := t.addStoreFetch(now, nil)
	for _, p := range t.nextPeers(now, n) {
		fetches = t.addPeerFetch(now, p.Address, fetches)
	}
	t.startup.fetchesStarted(fetches)
	return fetches
}

// Observe must be called with the generation in each message of a peer. It returns the
// fetches to start.
func (t *Tracker) Observe(now time.Time, peer string, generation uint64) []Fetch {
	if generation <= t.generation {
		return nil
	}
	if _, known := t.peersAhead[peer]; known || len(t.peersAhead) < maxPeersAhead {
		t.peersAhead[peer] = max(generation, t.peersAhead[peer])
	}
	return t.catchUp(now)
}

// Answered must be called when a source answered with a manifest that proved to be valid.
// generation is that of the manifest, or 0 if the source has none. Answered reports whether
// the manifest is accepted because it is newer than the current one.
func (t *Tracker) Answered(now time.Time, from Source, generation uint64) (accepted bool) {
	delete(t.inFlight, from)
	t.startup.answered(from, generation)
	delete(t.peersAhead, from.Peer)
	delete(t.failedAt, from.Peer)
	if generation <= t.generation {
		return false
	}
	t.generation = generation
	t.startup.manifestHeld(now)
	return true
}

// Failed must be called when a fetch failed or its content was not valid. It returns the
// fetches to start instead.
func (t *Tracker) Failed(now time.Time, from Source) []Fetch {
	delete(t.inFlight, from)
	t.startup.failed(from)
	if from == Store {
		return nil
	}
	delete(t.peersAhead, from.Peer)
	t.failedAt[from.Peer] = now
	return t.catchUp(now)
}

// CanPublish reports whether the current manifest may be published. Since the first
// manifest may come from a peer that is behind, it must wait until the store has answered
// with a manifest, every source asked has answered or failed, or StartupTimeout has passed
// since a manifest was accepted.
func (t *Tracker) CanPublish(now time.Time) bool {
	return t.generation > 0 && t.startup.waitOver(now)
}
