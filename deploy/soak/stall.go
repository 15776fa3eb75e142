package soak

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// backlogTime is how long an endpoint that runs again only reads what waits in its connections.
// It accepts connections, reads requests to demote it and learns of its successor later. An
// endpoint reads a backlog of a few statements for each connection within some ten milliseconds.
const backlogTime = 100 * time.Millisecond

// ProofGrace is the StallGrace of an endpoint that has just answered: the time for its answer to reach
// the host and for the statement to reach the endpoint, on a busy machine.
const ProofGrace = 20 * time.Millisecond

// stall makes an endpoint stand still as a stopped process does: its kernel goes on accepting
// connections and bytes, but nothing is read or answered until resume.
func (g *group) stall(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.resumed == nil {
		e.resumed, e.stalledAt, e.ranSince = make(chan struct{}), time.Now(), e.resumedAt
	}
}

// resume lets a stalled endpoint run again.
func (g *group) resume(e *endpoint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumeLocked(e)
}

// resumeLocked is resume for calling functions that hold g.mu.
func (g *group) resumeLocked(e *endpoint) {
	if e.resumed != nil {
		close(e.resumed)
		e.resumed, e.resumedAt = nil, time.Now()
	}
}

// stalled reports whether the endpoint stands still. The group's mutex must be held.
func (e *endpoint) stalled() bool { return e.resumed != nil }

// awaitRunning waits while the endpoint stands still.
func (g *group) awaitRunning(e *endpoint) {
	for {
		g.mu.Lock()
		resumed := e.resumed
		g.mu.Unlock()
		if resumed == nil {
			return
		}
		<-resumed
	}
}

// awaitBacklog waits until the endpoint runs and has read what waited in its connections.
func (g *group) awaitBacklog(e *endpoint) {
	for {
		g.awaitRunning(e)
		g.mu.Lock()
		left := backlogTime - time.Since(e.resumedAt)
		g.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// arrivals reads from a connection and keeps the time of the last read that returned data. The
// endpoint reads ahead of its statements, as the kernel of an endpoint that stands still does, so
// this is when a statement arrived and not when the endpoint looked at it.
type arrivals struct {
	net.Conn
	last time.Time
}

// Read implements io.Reader.
func (a *arrivals) Read(data []byte) (int, error) {
	n, err := a.Conn.Read(data)
	a.last = time.Now()
	return n, err
}

// stallPrimary makes the primary stand still for the given time, or until a successor has
// committed a write if that is earlier and untilReplaced is set. It returns whether the primary
// had such a successor in the end.
func (r *runner) stallPrimary(ctx context.Context, untilReplaced bool, duration time.Duration) (replaced bool) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	r.group.mu.Lock()
	e := r.group.currentPrimary()
	r.group.mu.Unlock()
	if e == nil {
		return false
	}
	r.group.stall(e)
	for ctx.Err() == nil && (!untilReplaced || !r.group.hasSuccessor(e)) {
		wait.Sleep(ctx, time.Millisecond)
	}
	replaced = r.group.hasSuccessor(e)
	r.group.resume(e)
	return replaced
}

// delay describes how long the statement waited at an endpoint that stood still; empty if it did
// not.
func (x execution) delay() string {
	stoodStillFor := x.receivedAt.Add(-x.waited).Sub(x.stalledAt)
	if x.stalledAt.IsZero() || x.waited < backlogTime || stoodStillFor < 0 {
		return ""
	}
	return fmt.Sprintf("; the endpoint had stood still for %s when it arrived, and read it %s later", stoodStillFor, x.waited)
}

// arrivedAtStall reports whether the statement arrived while the endpoint ran, or at the latest the given
// time after that had begun to stand still, and was read when it went on.
func (x execution) arrivedAtStall(grace time.Duration) bool {
	if x.stalledAt.IsZero() || grace == 0 || x.receivedAt.Before(x.stalledAt) {
		return false
	}
	arrived := x.receivedAt.Add(-x.waited)
	return !arrived.Before(x.ranSince) && arrived.Before(x.stalledAt.Add(grace))
}
