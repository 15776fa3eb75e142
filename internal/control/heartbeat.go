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
	// gossipInterval is the time between heartbeats to neighbours, which spread
	// manifest generations.
	gossipInterval = time.Second
	// gossipPeers is the number of neighbours of a gossip round.
	gossipPeers = 2
	// gossipNeighbours are the hosts among which gossip rounds take turns. They are
	// those that the manifest is fetched from, so that both share connections.
	gossipNeighbours = 8
)

// beat sends one heartbeat to each candidate of the groups owned here.
func (l *Loop) beat(now time.Time) {
	if !l.beatNow && now.Sub(l.lastBeat) < heartbeatInterval {
		return
	}
	l.beatNow = false
	l.lastBeat = now
	for address, owned := range l.ownedByPeer(now) {
		l.sendHeartbeat(address, owned)
	}
}

// ownedByPeer lists, for each peer, the groups owned here that it is a
// candidate of.
func (l *Loop) ownedByPeer(now time.Time) map[string][]*peerv1.OwnedGroup {
	byPeer := make(map[string][]*peerv1.OwnedGroup)
	for name, g := range l.active {
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

// gossip sends heartbeats to a few neighbours, in turn.
func (l *Loop) gossip(now time.Time) {
	if l.document == nil || now.Sub(l.lastGossip) < gossipInterval {
		return
	}
	l.lastGossip = now
	neighbours := placement.Neighbours(l.cfg.Name, now, l.placed, gossipNeighbours)
	for range min(gossipPeers, len(neighbours)) {
		l.sendHeartbeat(neighbours[l.gossipTurn%uint64(len(neighbours))].Address, nil)
		l.gossipTurn++
	}
}

// sendHeartbeat skips a peer that has not answered the last heartbeat yet.
func (l *Loop) sendHeartbeat(address string, owned []*peerv1.OwnedGroup) {
	if l.beating[address] {
		return
	}
	l.beating[address] = true
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
	l.work(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
		defer cancel()
		res, err := l.cfg.Peers.Heartbeat(ctx, address, req)
		if err == nil {
			l.observeGeneration(address, res.GetManifestGeneration())
		}
		l.post(l.workerContext, func(time.Time) { delete(l.beating, address) })
	})
}

func (l *Loop) observeGeneration(address string, generation uint64) {
	if l.cfg.ObserveGeneration != nil {
		l.cfg.ObserveGeneration(address, generation)
	}
}
