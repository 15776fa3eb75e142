package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// hostPoll is the result of sending a FenceRequest to other hosts.
type hostPoll struct {
	// asked is the number of polled hosts; addresses holds their addresses.
	asked     int
	addresses map[string]bool
	replies   map[string]FenceReply
	// quorumAt is when the quorum was reached; zero if it was not.
	quorumAt time.Time
	// tieBreaker is true if this host, or a host that agrees, has the alphabetically
	// first name of all.
	tieBreaker bool
	// notRunning is the number of hosts whose process does not run.
	notRunning int
}

// agreed returns the number of hosts that agree: this host, those that answered and
// those that do not run.
func (p *hostPoll) agreed() int { return 1 + len(p.replies) + p.notRunning }

// majority reports whether a majority of all hosts agrees.
func (p *hostPoll) majority() bool { return p.agreed() >= lease.Majority(p.asked+1) }

// quorum reports whether a majority of the hosts agrees, or exactly half of them
// including the tie breaker. In the second case the other half has no majority and
// cannot renew its permission to use primaries; the tie breaker keeps the two halves
// from replacing primaries in turn. This allows a failover if a network partition
// splits an even number of hosts, such as 14, into two halves, one with the primary and
// one with the store.
func (p *hostPoll) quorum() bool {
	return p.majority() || p.tieBreaker && 2*p.agreed() == p.asked+1
}

// askedAll reports whether all of the addresses were polled.
func (p *hostPoll) askedAll(addresses map[string]string) bool {
	for _, address := range addresses {
		if !p.addresses[address] {
			return false
		}
	}
	return true
}

// accountsForAll reports whether every polled host either answered or does not run, so
// that none of them still uses the primary.
func (p *hostPoll) accountsForAll() bool { return len(p.replies)+p.notRunning == p.asked }

// pollHosts sends the request to all other hosts that may use primaries and returns the
// answers that arrive in time.
func (f *failover) pollHosts(ctx context.Context, r FenceRequest, timeout time.Duration) hostPoll {
	var addresses map[string]string
	f.controller.submitAndWait(func() { addresses = f.controller.primaryUsers(boottime.Now()) })
	return f.controller.pollHosts(ctx, addresses, r, timeout)
}

// primaryUsers returns the names and addresses of the other hosts that may use
// primaries: the listed hosts, and those whose row was removed less than
// permission.Duration ago.
func (c *controller) primaryUsers(now time.Time) map[string]string {
	addresses := make(map[string]string, len(c.members))
	listed := make(map[string]bool, len(c.members))
	for name, m := range c.members {
		addresses[name], listed[m.Address] = m.Address, true
	}
	for address, at := range c.departedHosts {
		// A host that is listed again must not count twice.
		if now.Sub(at) < permission.Duration && !listed[address] {
			addresses["former "+address] = address
		}
	}
	return addresses
}

// pollHosts sends the request to the given hosts (addresses by name) and returns the
// answers that arrive in time. It must not run on the controller goroutine.
func (c *controller) pollHosts(ctx context.Context, addresses map[string]string, r FenceRequest, timeout time.Duration) hostPoll {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := hostPoll{asked: len(addresses), addresses: make(map[string]bool), replies: make(map[string]FenceReply)}
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
		wg.Go(c.guarded("poll hosts", func() {
			reply, err := c.gw.cfg.Peers.Fence(ctx, address, r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				out.replies[name] = reply
			case c.gw.cfg.Peers.NotRunning(err):
				out.notRunning++
			default:
				return
			}
			out.tieBreaker = out.tieBreaker || name == first
			if out.quorumAt.IsZero() && out.quorum() {
				out.quorumAt = boottime.Now()
			}
		}))
	}
	wg.Wait()
	return out
}
