package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/membership"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// ErrStopped reports that the control loop has ended.
var ErrStopped = errors.New("control loop has ended")

// runOnLoop runs f on the control goroutine and waits for it, so that a stalled
// loop does not answer peers.
func (l *Loop) runOnLoop(ctx context.Context, f event) error {
	done := make(chan struct{})
	posted := l.post(ctx, func(now time.Time) {
		f(now)
		close(done)
	})
	if !posted {
		return l.waitError(ctx)
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	case <-l.stopped:
	}
	return l.waitError(ctx)
}

// waitError returns why a wait for the loop ended early.
func (l *Loop) waitError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return ErrStopped
}

// PreVote implements peer.ControlHandler.
func (l *Loop) PreVote(ctx context.Context, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error) {
	res := &peerv1.PreVoteResponse{}
	err := l.runOnLoop(ctx, func(now time.Time) {
		g, ok := l.groups[req.GetPool()]
		switch {
		case !ok:
		case g.machine == nil:
			res.OwnerAlive = now.Sub(g.lastHeartbeat) < claim.HeartbeatTimeout
			res.HighestTerm = g.owner.Term
		default:
			res.OwnerAlive = g.machine.OwnerAlive(now)
			res.HighestTerm = g.state.Term
		}
	})
	return res, err
}

// Heartbeat implements peer.ControlHandler.
func (l *Loop) Heartbeat(ctx context.Context, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	l.observeGeneration(req.GetAddress(), req.GetManifestGeneration())
	res := &peerv1.HeartbeatResponse{Incarnation: l.cfg.Incarnation}
	err := l.runOnLoop(ctx, func(now time.Time) {
		l.handleHeartbeat(now, req)
		res.ManifestGeneration = l.generation
		res.HostListVersion = l.members.ListVersion()
	})
	return res, err
}

// handleHeartbeat updates the sender's membership and the owners that the
// heartbeat names.
func (l *Loop) handleHeartbeat(now time.Time, req *peerv1.HeartbeatRequest) {
	moved := l.members.RecordHeartbeat(now, membership.Heartbeat{
		Name:        req.GetHost(),
		Incarnation: req.GetIncarnation(),
		Leaving:     req.GetLeaving(),
		ListVersion: req.GetHostListVersion(),
	})
	if moved {
		l.updatePlacement(now)
	}
	for _, o := range req.GetOwned() {
		l.handleOwnerHeartbeat(now, o.GetPool(), claim.Owner{
			Address:     req.GetAddress(),
			Incarnation: req.GetIncarnation(),
			Term:        o.GetTerm(),
		})
	}
}

// handleOwnerHeartbeat records the owner of a pool, unless a higher term is known.
func (l *Loop) handleOwnerHeartbeat(now time.Time, pool string, o claim.Owner) {
	g, ok := l.groups[pool]
	if !ok {
		return
	}
	if g.machine != nil {
		l.stepMachine(now, pool, g, claim.HeartbeatReceived{Owner: o})
		return
	}
	if o.Term < g.owner.Term {
		return
	}
	g.lastHeartbeat = now
	if o != g.owner {
		g.owner = o
		l.changedGroups[pool] = true
	}
}

// LearnOwner records an owner that another daemon named, unless a higher term is
// known or this daemon has a machine for the group.
func (l *Loop) LearnOwner(pool string, location *peerv1.Location) {
	o := claim.Owner{Address: location.GetAddress(), Incarnation: location.GetIncarnation(), Term: location.GetTerm()}
	l.post(context.Background(), func(time.Time) {
		g, ok := l.groups[pool]
		if ok && g.machine == nil && o.Term >= g.owner.Term && o.Address != "" && o != g.owner {
			g.owner = o
			l.changedGroups[pool] = true
		}
	})
}

// Handover implements peer.ControlHandler.
func (l *Loop) Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	res := &peerv1.HandoverResponse{}
	err := l.runOnLoop(ctx, func(now time.Time) {
		g, ok := l.groups[req.GetPool()]
		if !ok || g.machine == nil || !g.machine.AcceptsHandover(req.GetTerm()) {
			return
		}
		res.Accepted = true
		l.stepMachine(now, req.GetPool(), g, claim.HandoverOffered{Term: req.GetTerm()})
	})
	return res, err
}

// Locate implements peer.ControlHandler. The owner is empty if none is known.
func (l *Loop) Locate(_ context.Context, req *peerv1.LocateRequest) (*peerv1.LocateResponse, error) {
	g := l.View().Group(req.GetPool())
	return &peerv1.LocateResponse{Owner: &peerv1.Location{
		Address:     g.OwnerAddress,
		Incarnation: g.OwnerIncarnation,
		Term:        g.Term,
	}}, nil
}
