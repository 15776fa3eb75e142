package control

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/placement"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

const (
	// heartbeatInterval is the time between an owner's heartbeats to candidates.
	heartbeatInterval = 200 * time.Millisecond
	// gossipInterval is the time between rounds of heartbeats to neighbours, which
	// spread manifest generations.
	gossipInterval = time.Second
	// gossipPeers is the number of neighbours contacted in a gossip round.
	gossipPeers = 2
	// gossipNeighbours is the number of neighbours that gossip rounds rotate
	// through. The manifest is fetched from the same hosts, so that both share
	// connections.
	gossipNeighbours = 8
)

// sendOwnerHeartbeats sends one heartbeat to each candidate of the groups that
// this daemon owns, every heartbeatInterval or when heartbeatDue is set.
func (l *Loop) sendOwnerHeartbeats(now time.Time) {
	if !l.heartbeatDue && now.Sub(l.lastHeartbeat) < heartbeatInterval {
		return
	}
	l.heartbeatDue = false
	l.lastHeartbeat = now
	for address, owned := range l.ownedByPeer(now) {
		l.sendHeartbeat(address, owned)
	}
}

// ownedByPeer returns, by peer address, the groups that this daemon owns and that
// the peer is a candidate of.
func (l *Loop) ownedByPeer(now time.Time) map[string][]*peerv1.OwnedGroup {
	byPeer := make(map[string][]*peerv1.OwnedGroup)
	for name, g := range l.activeGroups {
		if !g.machine.ShouldAnnounce(now) {
			continue
		}
		owned := &peerv1.OwnedGroup{Pool: name, Term: g.state.Term}
		for _, a := range g.candidates {
			if a != l.cfg.Address {
				byPeer[a] = append(byPeer[a], owned)
			}
		}
	}
	return byPeer
}

// gossip sends heartbeats to the next gossipPeers neighbours, every
// gossipInterval.
func (l *Loop) gossip(now time.Time) {
	if l.document == nil || now.Sub(l.lastGossip) < gossipInterval {
		return
	}
	l.lastGossip = now
	neighbours := placement.Neighbours(l.cfg.Name, now, l.placedHosts, gossipNeighbours)
	for range min(gossipPeers, len(neighbours)) {
		l.sendHeartbeat(neighbours[l.nextGossipPeer%uint64(len(neighbours))].Address, nil)
		l.nextGossipPeer++
	}
}

// sendHeartbeat sends a heartbeat, unless the last one to this peer is still
// unanswered.
func (l *Loop) sendHeartbeat(address string, owned []*peerv1.OwnedGroup) {
	if l.heartbeatInFlight[address] {
		return
	}
	l.heartbeatInFlight[address] = true
	req := &peerv1.HeartbeatRequest{
		Host:               l.cfg.Name,
		Address:            l.cfg.Address,
		Incarnation:        l.cfg.Incarnation,
		ManifestGeneration: l.generation,
		HostListVersion:    l.members.ListVersion(),
		Owned:              owned,
		Leaving:            l.leaving,
	}
	if l.cfg.LoadPercent != nil {
		req.LoadPercent = l.cfg.LoadPercent()
	}
	l.startWorker(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
		defer cancel()
		res, err := l.cfg.Peers.Heartbeat(ctx, address, req)
		if err == nil {
			l.observeGeneration(address, res.GetManifestGeneration())
		}
		l.post(l.workerContext, func(time.Time) { delete(l.heartbeatInFlight, address) })
	})
}

func (l *Loop) observeGeneration(address string, generation uint64) {
	if l.cfg.ObserveGeneration != nil {
		l.cfg.ObserveGeneration(address, generation)
	}
}
