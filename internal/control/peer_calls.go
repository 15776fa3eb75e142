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

// ask runs f on the control goroutine and waits for it. A stalled loop thus
// answers no peer.
func (l *Loop) ask(ctx context.Context, f event) error {
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

func (l *Loop) waitError(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return ErrStopped
}

// PreVote implements peer.ControlHandler.
func (l *Loop) PreVote(ctx context.Context, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error) {
	res := &peerv1.PreVoteResponse{}
	err := l.ask(ctx, func(now time.Time) {
		g, ok := l.groups[req.GetPool()]
		switch {
		case !ok:
		case g.machine == nil:
			res.OwnerAlive = now.Sub(g.heardAt) < claim.HeartbeatTimeout
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
	err := l.ask(ctx, func(now time.Time) {
		l.heard(now, req)
		res.ManifestGeneration = l.generation
		res.HostListVersion = l.members.ListVersion()
	})
	return res, err
}

func (l *Loop) heard(now time.Time, req *peerv1.HeartbeatRequest) {
	moved := l.members.RecordHeartbeat(now, membership.Heartbeat{
		Name:        req.GetHost(),
		Incarnation: req.GetIncarnation(),
		Leaving:     req.GetLeaving(),
		ListVersion: req.GetHostListVersion(),
	})
	if moved {
		l.place(now)
	}
	for _, o := range req.GetOwned() {
		l.heardOwner(now, o.GetPool(), claim.Owner{
			Address:     req.GetAddress(),
			Incarnation: req.GetIncarnation(),
			Term:        o.GetTerm(),
		})
	}
}

func (l *Loop) heardOwner(now time.Time, pool string, o claim.Owner) {
	g, ok := l.groups[pool]
	if !ok {
		return
	}
	if g.machine != nil {
		l.step(now, pool, g, claim.HeartbeatReceived{Owner: o})
		return
	}
	if o.Term < g.owner.Term {
		return
	}
	g.heardAt = now
	if o != g.owner {
		g.owner = o
		l.dirty[pool] = true
	}
}

// LearnOwner takes note of an owner that another daemon named. A term below the
// known one is ignored.
func (l *Loop) LearnOwner(pool string, location *peerv1.Location) {
	o := claim.Owner{Address: location.GetAddress(), Incarnation: location.GetIncarnation(), Term: location.GetTerm()}
	l.post(context.Background(), func(time.Time) {
		g, ok := l.groups[pool]
		if ok && g.machine == nil && o.Term >= g.owner.Term && o.Address != "" && o != g.owner {
			g.owner = o
			l.dirty[pool] = true
		}
	})
}

// Handover implements peer.ControlHandler.
func (l *Loop) Handover(ctx context.Context, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	res := &peerv1.HandoverResponse{}
	err := l.ask(ctx, func(now time.Time) {
		g, ok := l.groups[req.GetPool()]
		if !ok || g.machine == nil || !g.machine.AcceptsHandover(req.GetTerm()) {
			return
		}
		res.Accepted = true
		l.step(now, req.GetPool(), g, claim.HandoverOffered{Term: req.GetTerm()})
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
