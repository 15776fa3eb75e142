package manifest

import "time"

// Pollers is the number of hosts that poll the store at a time. Each polls once
// for each Tick, so that the store's load does not depend on the number of
// hosts, and two of them may be down.
const Pollers = 3

// PollerEpoch is how long the same hosts poll. Others take their place in the
// next epoch, so that hosts that died or are cut off from the store delay an
// accepted manifest by about one epoch at most. It is counted on the wall
// clock; a clock that differs only makes its host poll in another epoch.
const PollerEpoch = 2 * time.Second

// Neighbours is the number of peers that a host asks in turn. They stay the same
// for placement.NeighbourEpoch, so that their connections are used again; one that
// fails is replaced.
const Neighbours = 8

// PeersPerTick is the number of peers that are asked with each tick. The hosts
// that have a new manifest grow two- to threefold with each tick. In a trial with
// 5,500 trackers, one host's manifest reached all in 11 ticks, and in 14 ticks
// with a third of the hosts dead, without the help of heartbeats.
const PeersPerTick = 2

// startPeers is the number of peers that are asked with each tick before the
// first manifest is published.
const startPeers = 3

// StartTimeout is how long the first manifest waits for sources that do not answer.
const StartTimeout = 2 * time.Second

// maxStartDelay bounds the time between two requests to the store before the
// first manifest; the delay doubles from one tick. Thousands of hosts that start
// together would otherwise use up the store's reads.
const maxStartDelay = 8 * time.Second

// avoidTime is how long a peer whose fetch failed is not asked again.
const avoidTime = time.Second

// maxFetches bounds the fetches from peers at a time. More than one is needed
// because a peer may be paused.
const maxFetches = 4

// maxSeen bounds the peers that are remembered as being ahead.
const maxSeen = 64

// downTime is how long a peer whose fetch failed is not counted on as a poller.
const downTime = 30 * time.Second
