package control

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/membership"
)

// Leave hands over all groups and ends all claims. It returns nil once a
// candidate has accepted or claimed each group, otherwise the error of ctx. Run
// must be running meanwhile. A leave cannot be undone.
func (l *Loop) Leave(ctx context.Context) error {
	left := make(chan struct{})
	if !l.post(ctx, func(now time.Time) { l.beginLeave(now, left) }) {
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

func (l *Loop) beginLeave(now time.Time, left chan struct{}) {
	l.leaving = true
	l.leaveWaiters = append(l.leaveWaiters, left)
	l.members.RecordHeartbeat(now, membership.Heartbeat{Name: l.cfg.Name, Incarnation: l.cfg.Incarnation, Leaving: true})
	for name, g := range l.activeGroups {
		l.stepMachine(now, name, g, claim.Leave{})
	}
	l.announceLeave()
	l.updatePlacement(now)
	l.notifyIfLeft()
}

// announceLeave sends a heartbeat, which says that this daemon is leaving, to the
// candidates of all groups that have a machine here.
func (l *Loop) announceLeave() {
	notified := map[string]bool{l.cfg.Address: true}
	for _, g := range l.activeGroups {
		for _, a := range g.candidates {
			if !notified[a] {
				notified[a] = true
				l.sendHeartbeat(a, nil)
			}
		}
	}
}

// notifyIfLeft unblocks the callers of Leave once every machine is idle.
func (l *Loop) notifyIfLeft() {
	if len(l.leaveWaiters) == 0 {
		return
	}
	for _, g := range l.activeGroups {
		if !g.machine.Idle() {
			return
		}
	}
	for _, w := range l.leaveWaiters {
		close(w)
	}
	l.leaveWaiters = nil
}
