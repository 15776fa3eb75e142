package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// errUnknownGroup means that this host does not know the group yet. It cannot fence the
// group then, so its answer must not count as an acknowledgement.
var errUnknownGroup = errors.New("the group is not known here")

// Fence handles a FenceRequest of a host that runs a failover. When it returns, this
// host starts nothing on a primary of the fenced term and will not report a statement
// that is in flight to it as a success. It may be called from any goroutine.
func (gw *Gateway) Fence(r FenceRequest) (FenceReply, error) {
	g := gw.group(r.Group)
	if g == nil {
		return FenceReply{}, errUnknownGroup
	}
	reply := g.fenceReply()
	if r.QueryOnly {
		return reply, nil
	}
	g.mu.Lock()
	g.setFence(r.Fence, boottime.Now())
	fenced := g.fenced()
	g.mu.Unlock()
	gw.events.log.Info().Str("group", r.Group).Uint64("term", r.Fence.Term).Uint64("claim", r.Fence.Version).
		Bool("withdrawn", r.Fence.Withdrawn).Dur("grace_ms", r.Grace).Bool("fenced", fenced).Msg("fence request received from the claim holder")
	if !fenced {
		return reply, nil
	}
	deadline := time.Now().Add(r.Grace)
	for g.countPrimaryConns() > 0 && time.Now().Before(deadline) && wait.Sleep(gw.ctx, 5*time.Millisecond) {
	}
	g.closePrimaryConns()
	return reply, nil
}

// fenceReply returns the known term and when the primary last answered this host.
func (g *group) fenceReply() FenceReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[g.primary]
	if t == nil || t.answeredAt.IsZero() {
		return FenceReply{Term: g.term, PrimaryAnsweredAgo: -1}
	}
	return FenceReply{Term: g.term, PrimaryAnsweredAgo: boottime.Now().Sub(t.answeredAt), Direct: !t.usesRelay()}
}

// countPrimaryConns returns the number of connections that are used for work on the
// fenced primary.
func (g *group) countPrimaryConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	g.eachPrimaryConn(func(*conn) { count++ })
	return count
}

// closePrimaryConns closes the connections that are used for work on the fenced
// primary. Statements that wait for an answer there fail.
func (g *group) closePrimaryConns() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	g.eachPrimaryConn(func(c *conn) {
		if !c.sentAt.IsZero() {
			g.pool.logUnanswered(c, now)
		}
		c.broken = true
		c.Close()
	})
}

// logUnanswered counts and logs a statement that is not answered when this host stops using its
// endpoint as the primary. The group's mutex must be held.
func (p *pool) logUnanswered(c *conn, now time.Time) {
	g := c.target.group
	p.metrics.Inc(metrics.PrimaryUnanswered)
	p.requestLog.Info().Str("request", c.requestID).Str("group", g.name).Str("endpoint", c.target.ID).Str("relay", c.relayAddress).
		Uint64("term", g.term).Uint64("claim", g.fence.Version).Uint64("claim_term", g.fence.Term).
		Dur("sent_ago_ms", now.Sub(c.sentAt)).Msg("statement given up as its primary is being replaced")
}

// eachPrimaryConn calls f for each connection that is used for work on the fenced
// primary. It does nothing if a newer primary is known.
func (g *group) eachPrimaryConn(f func(*conn)) {
	if !g.fenced() {
		return
	}
	for _, t := range g.targets {
		for c := range t.conns {
			if c.usesPrimary {
				f(c)
			}
		}
	}
}
