package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// statusTimeout limits a status request, including opening its connection. A status
// request shares the endpoint's queue with statements.
const statusTimeout = 450 * time.Millisecond

// errStatusRefused means that the endpoint rejected the status request for lack of
// room, so it is alive.
var errStatusRefused = errors.New("the endpoint had no room for a status request")

// errRelayRefused means that the relay host did not forward the request, so nothing is
// known about the endpoint.
var errRelayRefused = errors.New("the relay host refused the request")

// controlConn returns a connection for the proxy's own statements. It may exceed the
// connection limit for sessions, because all of those connections may be waiting for
// answers that never come.
func (p *pool) controlConn(ctx context.Context, t *target) (*conn, error) {
	g := t.group
	g.mu.Lock()
	if t.failures == 0 {
		if c := t.takeAnyIdle(); c != nil {
			g.mu.Unlock()
			return c, nil
		}
	}
	t.opening++
	g.mu.Unlock()
	return p.open(ctx, t, connRequest{})
}

// takeAnyIdle removes an idle connection of any team from the pool, the one that was used last.
// The team does not matter for the proxy's own statements. The group's mutex must be held.
func (t *target) takeAnyIdle() *conn {
	for len(t.idle) > 0 {
		if c := t.takeIdle(nil, t.idle[len(t.idle)-1].team); c != nil {
			return c
		}
	}
	return nil
}

// runCommand runs one of the proxy's own statements whose answer is a status row.
func (p *pool) runCommand(ctx context.Context, t *target, st session.Statement) (Status, error) {
	c, err := p.controlConn(ctx, t)
	if err != nil {
		return Status{}, err
	}
	began := boottime.Now()
	deadline, _ := ctx.Deadline()
	reply, _, err := p.run(c, false, deadline, session.New(), true, Request{Statement: st})
	p.release(c)
	if err != nil {
		g := t.group
		g.mu.Lock()
		t.recordFailure(boottime.Now())
		g.mu.Unlock()
		return Status{}, err
	}
	if reply.FromRelay && reply.Code != CodeMisrouted {
		return Status{}, errors.Wrapf(errRelayRefused, "%s", reply.Detail)
	}
	if !reply.OK() {
		return Status{}, errors.Wrapf(errStatusRefused, "%s", reply.Detail)
	}
	s, err := p.parseStatus(reply.Rows)
	if err == nil {
		p.applyStatus(t, s, began)
	}
	return s, err
}

// applyStatus records the status that an endpoint had at the given time or later.
func (p *pool) applyStatus(t *target, s Status, at time.Time) {
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.highestSeenTerm = max(g.highestSeenTerm, s.Term)
	switch {
	case t.removed:
		// Another process may have the endpoint's ID by now.
	case s.Primary:
		g.setPrimary(s.Term, t.ID, s.Received)
		if g.primary == t.ID {
			g.recordPrimaryPosition(at, s.Received)
		}
	case g.primary == t.ID && s.Term >= g.term:
		g.primary = ""
		g.notify()
	}
}

// queryStatus asks an endpoint for its status. It blocks and must not run on the
// controller goroutine.
func (c *controller) queryStatus(t *target) (Status, error) {
	ctx, cancel := context.WithTimeout(c.gw.ctx, statusTimeout)
	defer cancel()
	s, err := c.gw.pool.runCommand(ctx, t, session.Statement{Op: session.OpStatus})
	if err != nil && !errors.Is(err, errStatusRefused) {
		c.gw.events.log.Info().Str("group", t.group.name).Str("endpoint", t.ID).Err(err).Msg("status request to the endpoint failed")
	}
	return s, err
}

// survey asks all endpoints of the group, except one, for their status and returns the
// answers by endpoint ID.
func (c *controller) survey(g *group, except *target) map[string]Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	found := make(map[string]Status)
	for _, t := range g.allTargets() {
		if t == except {
			continue
		}
		wg.Go(c.guarded("survey", func() {
			s, err := c.queryStatus(t)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found[t.ID] = s
		}))
	}
	wg.Wait()
	return found
}

// allTargets returns all targets of the group.
func (g *group) allTargets() []*target {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*target, 0, len(g.targets))
	for _, t := range g.targets {
		out = append(out, t)
	}
	return out
}
