package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// maxDepartures limits how many removed hosts are remembered one by one. It is far above the number of
// hosts that stop within the time in which a quorum learns of it.
const maxDepartures = 1000

// departure is the removal of a host's row.
type departure struct {
	// at is when this host learned of it, and version the version of TableState by which it had happened.
	at      time.Time
	version uint64
}

// hostRemovals tells whether hosts without a row may still get a permission to use primaries from
// hosts that have not learned of the removal of the row.
type hostRemovals struct {
	// departures holds the removed hosts by address.
	departures map[string]departure
	// missed is the version of TableState by which removals had happened that this host may not know.
	missed uint64
	// samples holds up to which version this host has known the table, and since when.
	samples []mirrorSample
}

// recordDeparture records that the host at the address is no longer listed.
func (c *controller) recordDeparture(address string) {
	r := &c.removals
	if len(r.departures) >= maxDepartures {
		for _, d := range r.departures {
			r.missed = max(r.missed, d.version)
		}
		clear(r.departures)
	}
	r.departures[address] = departure{at: boottime.Now(), version: c.tables[TableState].Through()}
}

// mirrorSample says that a mirror was complete up to a version at the given time.
type mirrorSample struct {
	at      time.Time
	through uint64
}

// sample records the version up to which the mirror is known now, and returns the one up to which it
// has been known for permission.Duration.
func (r *hostRemovals) sample(now time.Time, through uint64) (settled uint64) {
	if n := len(r.samples); n == 0 || r.samples[n-1].through < through {
		r.samples = append(r.samples, mirrorSample{at: now, through: through})
	}
	for len(r.samples) > 1 && now.Sub(r.samples[1].at) >= permission.Duration {
		r.samples = r.samples[1:]
	}
	if now.Sub(r.samples[0].at) < permission.Duration {
		return 0
	}
	return r.samples[0].through
}

// sampleMirror updates the version that this host states in its answers to fence requests.
func (c *controller) sampleMirror(now time.Time) {
	c.gw.settledVersion.Store(c.removals.sample(now, c.tables[TableState].Through()))
}

// removalsAccountedFor reports whether no host without a row may use primaries: it has answered the
// poll, or a quorum of the voters has known of its removal for permission.Duration. Its permission has
// ended then, as it rests on answers of a majority, with which the quorum has a host in common, or on
// the evidence of such a host, and whoever knows of the removal tells of it.
func (c *controller) removalsAccountedFor(p *hostPoll, voters electorate.Electorate) bool {
	unsettled := c.removals.missed
	for address, d := range c.removals.departures {
		if !p.agrees(address) {
			unsettled = max(unsettled, d.version)
		}
	}
	left := c.leftVoters()
	return voters.Quorum(func(address string) electorate.Vote {
		reply, answered := p.replies[address]
		switch {
		case left(address):
			return electorate.VoteLeft
		case address == p.own && c.gw.settledVersion.Load() >= unsettled, answered && reply.SettledVersion >= unsettled:
			return electorate.VoteAgrees
		}
		return electorate.VoteMissing
	})
}
