package control

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/membership"
)

// Leave hands over all groups and ends all claims. It returns nil when each
// group was accepted by a candidate or lost to one, otherwise the error of ctx.
// Run must go on meanwhile. A leave can't be taken back.
func (l *Loop) Leave(ctx context.Context) error {
	left := make(chan struct{})
	if !l.post(ctx, func(now time.Time) { l.leave(now, left) }) {
		return l.waitError(ctx)
	}
	select {
	case <-left:
		return nil
	case <-ctx.Done():
	case <-l.stopped:
	}
	return l.waitError(ctx)
}

func (l *Loop) leave(now time.Time, left chan struct{}) {
	l.leaving = true
	l.leaveWaiters = append(l.leaveWaiters, left)
	l.members.RecordHeartbeat(now, membership.Heartbeat{Name: l.cfg.Name, Incarnation: l.cfg.Incarnation, Leaving: true})
	for name, g := range l.active {
		l.step(now, name, g, claim.Leave{})
	}
	l.announceLeave()
	l.place(now)
	l.checkLeft()
}

// announceLeave tells the candidates of all groups in which this daemon takes
// part that it is no candidate any more.
func (l *Loop) announceLeave() {
	told := map[string]bool{l.cfg.Address: true}
	for _, g := range l.active {
		for _, a := range g.candidates {
			if !told[a] {
				told[a] = true
				l.sendHeartbeat(a, nil)
			}
		}
	}
}

// checkLeft releases the callers of Leave once no group is held.
func (l *Loop) checkLeft() {
	if len(l.leaveWaiters) == 0 {
		return
	}
	for _, g := range l.active {
		if !g.machine.Idle() {
			return
		}
	}
	for _, w := range l.leaveWaiters {
		close(w)
	}
	l.leaveWaiters = nil
}
