package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// errUnknownGroup says that the host has not learned of the group yet. It then has
// no fence to keep, so its answer must not count as an acknowledgement.
var errUnknownGroup = errors.New("the group is not known here")

// Fence answers another host that replaces a primary. When it returns, this host
// starts nothing on a primary of the term, and has no answer outstanding there
// that it would pass on as a success. It may be called from any goroutine.
func (gw *Gateway) Fence(r FenceRequest) (FenceReply, error) {
	g := gw.group(r.Group)
	if g == nil {
		return FenceReply{}, errUnknownGroup
	}
	reply := g.fenceReply()
	if r.Ask {
		return reply, nil
	}
	g.mu.Lock()
	g.setFence(r.Fence, boottime.Now())
	fenced := g.fenced()
	g.mu.Unlock()
	gw.events.log.Info().Str("group", r.Group).Uint64("term", r.Fence.Term).Uint64("claim", r.Fence.Version).
		Bool("withdrawn", r.Fence.Withdrawn).Dur("grace_ms", r.Grace).Bool("fenced", fenced).Msg("claim heard from its holder")
	if !fenced {
		return reply, nil
	}
	deadline := time.Now().Add(r.Grace)
	for g.primaryUses() > 0 && time.Now().Before(deadline) {
		wait.Sleep(gw.ctx, 5*time.Millisecond)
	}
	g.closePrimaryUses()
	return reply, nil
}

// fenceReply tells when the primary last answered this host.
func (g *group) fenceReply() FenceReply {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.targets[g.primary]
	if t == nil || t.answered.IsZero() {
		return FenceReply{Term: g.term, AnsweredAgo: -1}
	}
	return FenceReply{Term: g.term, AnsweredAgo: boottime.Now().Sub(t.answered), Direct: !t.throughOthers()}
}

// primaryUses counts the connections that are held for work on the fenced
// primary.
func (g *group) primaryUses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	uses := 0
	g.eachPrimaryUse(func(*conn) { uses++ })
	return uses
}

// closePrimaryUses closes these connections, which fails the work that waits for
// an answer there.
func (g *group) closePrimaryUses() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.eachPrimaryUse(func(c *conn) {
		c.broken = true
		c.Close()
	})
}

// eachPrimaryUse calls f for each such connection, unless a newer primary leads.
func (g *group) eachPrimaryUse(f func(*conn)) {
	if !g.fenced() {
		return
	}
	for _, t := range g.targets {
		for c := range t.conns {
			if c.primaryUse {
				f(c)
			}
		}
	}
}
