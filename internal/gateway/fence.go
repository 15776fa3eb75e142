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

// Fence handles a FenceRequest of a host that runs a failover. When it returns, this host
// starts nothing on a primary of the fenced term, what it has sent there is answered or does not
// arrive any more, and it will not report an answer as a success. It may be called from any
// goroutine.
func (gw *Gateway) Fence(r FenceRequest) (FenceReply, error) {
	g := gw.group(r.Group)
	if g == nil {
		return FenceReply{}, errUnknownGroup
	}
	reply := g.fenceReply()
	reply.SettledVersion = gw.settledVersion.Load()
	if r.QueryOnly {
		return reply, nil
	}
	g.mu.Lock()
	g.learnFence(r.Fence, boottime.Now(), fenceFromHolder)
	fenced := g.fenced()
	g.mu.Unlock()
	gw.events.log.Info().Str("group", r.Group).Uint64("term", r.Fence.Term).Uint64("claim", r.Fence.Version).
		Bool("withdrawn", r.Fence.Withdrawn).Dur("grace_ms", r.Grace).Bool("fenced", fenced).
		Int64("boot_ms", boottime.Milliseconds(boottime.Now())).Msg("fence request received from the claim holder")
	deadline := time.Now().Add(r.Grace)
	for g.countFencedWork() > 0 && time.Now().Before(deadline) && wait.Sleep(gw.ctx, 5*time.Millisecond) {
	}
	g.closeFencedWork()
	gw.events.log.Info().Str("group", r.Group).Uint64("claim", r.Fence.Version).Int64("boot_ms", boottime.Milliseconds(boottime.Now())).
		Msg("fence acknowledged")
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

// countFencedWork returns the number of connections that are used for work on primaries of
// fenced terms.
func (g *group) countFencedWork() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.fencedWork())
}

// closeFencedWork closes the connections that are used for work on primaries of fenced terms.
// Statements that wait for an answer there fail. It follows every fence: before a fence request is
// acknowledged, and through closeFencedWorkLater in any case.
func (g *group) closeFencedWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closePrimaryWork(g.fencedWork())
}

// closeUnansweredPrimaryWork closes the direct connections on which a statement for a primary waits
// for its answer. It is called when the permission to use primaries has ended: this host cannot
// tell any more whether the primary is being replaced. Relay hosts do the same for what they have
// sent.
func (g *group) closeUnansweredPrimaryWork() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closePrimaryWork(g.primaryWork(func(c *conn) bool { return !c.sentAt.IsZero() && c.relayAddress == "" }))
}

// closePrimaryWork closes connections that are used for work on a primary. What was sent on them
// and has not reached the endpoint yet does not reach it any more; see Conn. The mutex must be
// held.
func (g *group) closePrimaryWork(conns []*conn) {
	now := boottime.Now()
	for _, c := range conns {
		if !c.sentAt.IsZero() && !c.waiting {
			g.pool.logUnanswered(c, now)
		}
		c.revoked = true
		c.Close()
	}
}

// fencedWork returns the connections that are used for work on primaries of fenced terms. The
// mutex must be held.
func (g *group) fencedWork() []*conn {
	return g.primaryWork(func(c *conn) bool { return c.primaryTerm <= g.fence.fencedTerm() })
}

// primaryWork returns the connections that are used for work on a primary and meet the
// condition. The mutex must be held.
func (g *group) primaryWork(condition func(*conn) bool) []*conn {
	var out []*conn
	for _, t := range g.targets {
		out = append(out, t.primaryWork(condition)...)
	}
	return out
}

// primaryWork is group.primaryWork for the connections to one endpoint.
func (t *target) primaryWork(condition func(*conn) bool) []*conn {
	var out []*conn
	for c := range t.conns {
		if c.usesPrimary && !c.revoked && condition(c) {
			out = append(out, c)
		}
	}
	return out
}

// closeFencedWorkLater closes the work on primaries of fenced terms that has not ended within
// plannedFailoverGrace, or by the end of the permission under which it was sent if that comes
// first. The holder of the claim may not reach this host. It then waits until this host's
// permission has ended before it has a successor promoted. The mutex must be held.
func (g *group) closeFencedWorkLater(now time.Time) {
	if len(g.fencedWork()) == 0 {
		return
	}
	time.AfterFunc(min(plannedFailoverGrace, g.pool.permittedUntil().Sub(now)), func() {
		// The guard has reported a panic.
		_ = g.pool.guard.Do("close work on a fenced primary", g.closeFencedWork)
	})
}

// logUnanswered counts and logs a statement that is not answered when this host stops using its
// endpoint as the primary. The group's mutex must be held.
func (p *pool) logUnanswered(c *conn, now time.Time) {
	g := c.target.group
	p.metrics.Inc(metrics.PrimaryUnanswered)
	p.replacedLog.Info().Str("request", c.requestID).Str("group", g.name).Str("endpoint", c.target.ID).Str("relay", c.relayAddress).
		Uint64("term", g.term).Uint64("claim", g.fence.Version).Uint64("claim_term", g.fence.Term).
		Dur("sent_ago_ms", now.Sub(c.sentAt)).Msg("unanswered statement given up, as its primary may be replaced")
}
