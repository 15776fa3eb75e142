package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// statusTimeout bounds a status request with the opening of its connection. A
// status request shares the endpoint's queue with statements.
const statusTimeout = 450 * time.Millisecond

// errNoStatus says that the endpoint shed the status request; it is alive.
var errNoStatus = errors.New("the endpoint had no room for a status request")

// errHolderRefused says that the host through which the endpoint is reached sent it
// nothing, so that nothing is known of the endpoint.
var errHolderRefused = errors.New("the holder of the connections refused the request")

// controlConn returns a connection for the proxy's own statements, beyond the
// sessions' share, since all of that may be held by statements without an answer.
func (p *pool) controlConn(ctx context.Context, t *target) (*conn, error) {
	g := t.group
	g.mu.Lock()
	if t.failures == 0 {
		if c := t.takeIdle(nil); c != nil {
			g.mu.Unlock()
			return c, nil
		}
	}
	t.opening++
	g.mu.Unlock()
	return p.open(ctx, t)
}

// command sends one of the proxy's own statements that is answered by a status
// row.
func (p *pool) command(ctx context.Context, t *target, st session.Statement) (Status, error) {
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
		t.failed(boottime.Now())
		g.mu.Unlock()
		return Status{}, err
	}
	if reply.ByHolder && reply.Code != CodeMisrouted {
		return Status{}, errors.Wrapf(errHolderRefused, "%s", reply.Detail)
	}
	if !reply.OK() {
		return Status{}, errors.Wrapf(errNoStatus, "%s", reply.Detail)
	}
	s, err := p.parse(reply.Rows)
	if err == nil {
		p.observe(t, s, began)
	}
	return s, err
}

// observe takes an endpoint's status, which it had at the time or later.
func (p *pool) observe(t *target, s Status, at time.Time) {
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seenTerm = max(g.seenTerm, s.Term)
	switch {
	case s.Primary:
		g.lead(s.Term, t.ID, s.Received)
		if g.primary == t.ID {
			g.sample(at, s.Received)
		}
	case g.primary == t.ID && s.Term >= g.term:
		g.primary = ""
		g.notify()
	}
}

// status asks an endpoint for its role. It runs on a goroutine of its own.
func (c *control) status(t *target) (Status, error) {
	ctx, cancel := context.WithTimeout(c.gw.ctx, statusTimeout)
	defer cancel()
	s, err := c.gw.pool.command(ctx, t, session.Statement{Op: session.OpStatus})
	if err != nil && !errors.Is(err, errNoStatus) {
		c.gw.events.log.Info().Str("group", t.group.name).Str("endpoint", t.ID).Err(err).Msg("endpoint did not tell its status")
	}
	return s, err
}

// survey asks all endpoints of the group but one for their roles, and returns the
// answers by endpoint.
func (c *control) survey(g *group, but *target) map[string]Status {
	var mu sync.Mutex
	var wg sync.WaitGroup
	found := make(map[string]Status)
	for _, t := range g.listedTargets() {
		if t == but {
			continue
		}
		wg.Go(func() {
			s, err := c.status(t)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found[t.ID] = s
		})
	}
	wg.Wait()
	return found
}

// listedTargets returns the targets of the group.
func (g *group) listedTargets() []*target {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]*target, 0, len(g.targets))
	for _, t := range g.targets {
		out = append(out, t)
	}
	return out
}
