package manifest

import "time"

// PollerCount is the number of hosts that poll the store at a time. Each polls once
// for each Tick, so that the store's load does not depend on the number of
// hosts, and two of them may be down.
const PollerCount = 3

// PollerEpoch is how long the same hosts poll the store. Other hosts poll in the next
// epoch, so that hosts that died or are cut off from the store delay an accepted manifest
// by about one epoch at most. Epochs follow the wall clock; a host with a wrong clock only
// polls in another epoch.
const PollerEpoch = 2 * time.Second

// NeighbourCount is the number of peers that a host fetches from in turn. They stay the same
// for placement.NeighbourEpoch, so that connections to them are reused. A neighbour that
// fails is replaced by another host.
const NeighbourCount = 8

// PeersPerTick is the number of peers that a host fetches from with each tick. The number of
// hosts that have a new manifest doubles or triples with each tick. In a trial with 5,500
// trackers and without heartbeats, one host's manifest reached all in 11 ticks, and in 14
// ticks with a third of the hosts down.
const PeersPerTick = 2

// startupPeersPerTick replaces PeersPerTick until the first manifest is published.
const startupPeersPerTick = 3

// StartupTimeout is how long the publication of the first manifest waits for sources that
// do not answer.
const StartupTimeout = 2 * time.Second

// maxStartupStoreDelay bounds the time between two fetches from the store before the first
// manifest is published. The delay starts at the time of one tick and doubles, because
// thousands of hosts that start together would otherwise use up the store's reads.
const maxStartupStoreDelay = 8 * time.Second

// peerRetryDelay is the time after a failed fetch during which the peer is not asked again.
const peerRetryDelay = time.Second

// maxPeerFetches bounds the concurrent fetches from peers. More than one is needed, because
// a peer may be paused and not answer.
const maxPeerFetches = 4

// maxPeersAhead bounds the number of peers that are remembered as having a newer manifest.
const maxPeersAhead = 64

// peerDownTime is the time after a failed fetch during which the peer does not count as a
// possible poller or neighbour.
const peerDownTime = 30 * time.Second
