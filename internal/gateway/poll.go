package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// poll is what the other hosts answered.
type poll struct {
	// asked is the number of other hosts; addresses is where they were asked.
	asked     int
	addresses map[string]bool
	replies   map[string]FenceReply
	// quorumAt is when the last answer came that made a quorum; zero without one.
	quorumAt time.Time
	// tieBreaker is true if this host or one that agrees has the smallest name of all.
	tieBreaker bool
	// stopped counts the hosts whose process does not run.
	stopped int
}

// agreed counts this host, those that answered and those that do not run.
func (p *poll) agreed() int { return 1 + len(p.replies) + p.stopped }

// majority reports whether a majority of all hosts agrees.
func (p *poll) majority() bool { return p.agreed() >= lease.Majority(p.asked+1) }

// quorum reports whether a majority agrees, or exactly half of the hosts with the tie
// breaker among them. The other half is no majority either, so that it cannot renew a
// permission to use primaries by itself; the tie breaker keeps both halves of a split
// from replacing primaries in turn.
//
// Load: a split of 14 hosts into halves, one with the primary and one with the store.
func (p *poll) quorum() bool {
	return p.majority() || p.tieBreaker && 2*p.agreed() == p.asked+1
}

// askedAll reports whether all of the addresses were asked.
func (p *poll) askedAll(addresses map[string]string) bool {
	for _, address := range addresses {
		if !p.addresses[address] {
			return false
		}
	}
	return true
}

// complete reports whether no host is left that may still use the primary.
func (p *poll) complete() bool { return len(p.replies)+p.stopped == p.asked }

// askAll sends the request to every other host and returns the answers that came
// in time.
func (ch *change) askAll(ctx context.Context, r FenceRequest, timeout time.Duration) poll {
	var addresses map[string]string
	ch.c.ask(func() { addresses = ch.c.mayUsePrimaries(boottime.Now()) })
	return ch.c.askHosts(ctx, addresses, r, timeout)
}

// mayUsePrimaries returns the addresses of the other hosts that may use primaries:
// those that are listed, and those that were until a moment ago.
func (c *control) mayUsePrimaries(now time.Time) map[string]string {
	addresses := make(map[string]string, len(c.members))
	listed := make(map[string]bool, len(c.members))
	for name, m := range c.members {
		addresses[name], listed[m.Address] = m.Address, true
	}
	for address, at := range c.former {
		// A host that is listed again must not count twice.
		if now.Sub(at) < permission.Duration && !listed[address] {
			addresses["former "+address] = address
		}
	}
	return addresses
}

// askHosts sends the request to the hosts, given by name, and returns the answers
// that came in time. It may be called from any goroutine but the control goroutine.
func (c *control) askHosts(ctx context.Context, addresses map[string]string, r FenceRequest, timeout time.Duration) poll {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := poll{asked: len(addresses), addresses: make(map[string]bool), replies: make(map[string]FenceReply)}
	for _, address := range addresses {
		out.addresses[address] = true
	}
	first := c.gw.cfg.Host
	for name := range addresses {
		first = min(first, name)
	}
	out.tieBreaker = first == c.gw.cfg.Host
	if out.quorum() {
		out.quorumAt = boottime.Now()
	}
	for name, address := range addresses {
		wg.Go(func() {
			reply, err := c.gw.cfg.Peers.Fence(ctx, address, r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				out.replies[name] = reply
			case c.gw.cfg.Peers.NotRunning(err):
				out.stopped++
			default:
				return
			}
			out.tieBreaker = out.tieBreaker || name == first
			if out.quorumAt.IsZero() && out.quorum() {
				out.quorumAt = boottime.Now()
			}
		})
	}
	wg.Wait()
	return out
}
