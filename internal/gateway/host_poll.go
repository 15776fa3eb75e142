package gateway

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// hostPoll is the result of sending a FenceRequest to other hosts.
type hostPoll struct {
	// own is the address of this host, which agrees with itself.
	own string
	// asked holds the addresses of the polled hosts.
	asked   map[string]bool
	replies map[string]FenceReply
	// notRunning holds the addresses of the hosts whose process does not run. These agree,
	// as does this host.
	notRunning map[string]bool
	// agreedAt holds when each host answered or was found not to run.
	agreedAt map[string]time.Time
}

// agrees reports whether the host at the address agrees.
func (p *hostPoll) agrees(address string) bool {
	_, answered := p.replies[address]
	return address == p.own || answered || p.notRunning[address]
}

// quorum reports whether a quorum of the electorate agrees. left reports whether a voter has
// ended by itself and removed its row.
func (p *hostPoll) quorum(e electorate.Electorate, left func(address string) bool) bool {
	return e.Quorum(func(address string) electorate.Vote {
		switch {
		case left(address):
			return electorate.VoteLeft
		case p.agrees(address):
			return electorate.VoteAgrees
		}
		return electorate.VoteMissing
	})
}

// quorumOfAsked reports whether a quorum of the polled hosts and this one agrees.
func (p *hostPoll) quorumOfAsked() bool {
	return p.quorum(electorate.New(append(slices.Collect(maps.Keys(p.asked)), p.own), nil), noneLeft)
}

// quorumAt returns the earliest time at which a quorum of the electorate had agreed. Voters
// that have left count from leftAt.
func (p *hostPoll) quorumAt(e electorate.Electorate, left func(address string) bool, leftAt time.Time) time.Time {
	times := append(slices.Collect(maps.Values(p.agreedAt)), leftAt)
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times {
		until := hostPoll{own: p.own, notRunning: make(map[string]bool)}
		for address, agreedAt := range p.agreedAt {
			until.notRunning[address] = !agreedAt.After(at)
		}
		if until.quorum(e, func(address string) bool { return left(address) && !leftAt.After(at) }) {
			return at
		}
	}
	return boottime.Now()
}

// accounts returns for the log how each host that agrees was found to, and when, in milliseconds of
// the boot clock.
func (p *hostPoll) accounts() *zerolog.Event {
	out := zerolog.Dict()
	for address, at := range p.agreedAt {
		how := "answered"
		if p.notRunning[address] {
			how = "refused the connection"
		}
		out.Str(address, how+" at "+strconv.FormatInt(boottime.Milliseconds(at), 10))
	}
	return out
}

// askedAll reports whether all of the addresses were polled.
func (p *hostPoll) askedAll(addresses map[string]string) bool {
	for _, address := range addresses {
		if !p.asked[address] {
			return false
		}
	}
	return true
}

// accountsFor reports whether every one of the hosts either answered or does not run, so
// that none of them still uses the primary.
func (p *hostPoll) accountsFor(addresses map[string]string) bool {
	for _, address := range addresses {
		if !p.agrees(address) {
			return false
		}
	}
	return true
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
// answers that arrive in time. own is this host's address. It must not run on the controller
// goroutine, for which it does not wait either: on a host without enough processor time that
// would use up most of the timeout.
func (c *controller) pollHosts(ctx context.Context, own string, addresses map[string]string, r FenceRequest, timeout time.Duration) hostPoll {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := hostPoll{
		own: own, asked: make(map[string]bool), replies: make(map[string]FenceReply),
		notRunning: make(map[string]bool), agreedAt: make(map[string]time.Time),
	}
	for _, address := range addresses {
		out.asked[address] = true
	}
	for address := range out.asked {
		wg.Go(c.guarded("poll hosts", func() {
			reply, err := c.gw.cfg.Peers.Fence(ctx, address, r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				out.replies[address] = reply
			case c.gw.cfg.Peers.NotRunning(err):
				out.notRunning[address] = true
			default:
				return
			}
			out.agreedAt[address] = boottime.Now()
		}))
	}
	wg.Wait()
	return out
}
