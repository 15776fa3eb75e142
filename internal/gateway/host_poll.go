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
	"github.com/beryltrestle/beryltrestle/coord/lease"
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
	// refused holds the addresses of the hosts that refused the connection. These do not agree: a
	// network partition may refuse connections to a running host, and a host that starts or stops
	// refuses them while it is about to use, or still uses, primaries.
	refused map[string]bool
	// endedAt holds when each host answered or refused the connection.
	endedAt map[string]time.Time
}

// agrees reports whether the host at the address agrees: it is this host or has answered.
func (p *hostPoll) agrees(address string) bool {
	_, answered := p.replies[address]
	return address == p.own || answered
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

// reachesMost reports whether most of the polled hosts and this one answered or refused the
// connection, so that this host is not cut off from them by a network partition that drops packets.
func (p *hostPoll) reachesMost() bool {
	reached := len(p.replies) + len(p.refused) + 1
	return reached >= lease.Majority(len(p.asked)+1)
}

// quorumAt returns the earliest time at which a quorum of the electorate had agreed. Voters
// that have left count from leftAt.
func (p *hostPoll) quorumAt(e electorate.Electorate, left func(address string) bool, leftAt time.Time) time.Time {
	times := append(slices.Collect(maps.Values(p.endedAt)), leftAt)
	slices.SortFunc(times, time.Time.Compare)
	for _, at := range times {
		until := hostPoll{own: p.own, replies: maps.Clone(p.replies)}
		maps.DeleteFunc(until.replies, func(address string, _ FenceReply) bool { return p.endedAt[address].After(at) })
		if until.quorum(e, func(address string) bool { return left(address) && !leftAt.After(at) }) {
			return at
		}
	}
	return boottime.Now()
}

// results returns for the log which hosts answered or refused the connection, and when, in
// milliseconds of the boot clock.
func (p *hostPoll) results() *zerolog.Event {
	out := zerolog.Dict()
	for address, at := range p.endedAt {
		how := "answered"
		if p.refused[address] {
			how = "refused the connection"
		}
		out.Str(address, how+" at "+strconv.FormatInt(boottime.Milliseconds(at), 10))
	}
	return out
}

// answeredBy reports whether all of the hosts answered.
func (p *hostPoll) answeredBy(addresses map[string]string) bool {
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
	for address, d := range c.removals.departures {
		// A host that is listed again must not count twice.
		if now.Sub(d.at) < permission.Duration && !listed[address] {
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
		refused: make(map[string]bool), endedAt: make(map[string]time.Time),
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
			case c.gw.cfg.Peers.Refused(err):
				out.refused[address] = true
			default:
				return
			}
			out.endedAt[address] = boottime.Now()
		}))
	}
	wg.Wait()
	return out
}
