package gateway

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// silenceRecheck is the pause between the first two polls without a quorum. A single late
	// poll must not change the electorate.
	silenceRecheck = time.Second
	// silenceDelay is for how long no quorum of the voters must answer before the electorate is
	// changed without one.
	silenceDelay = time.Second
	// isolatedSilenceDelay is silenceDelay for a host that most listed hosts do not answer. It is
	// probably cut off from them, and a quorum of the others removes it from the electorate earlier.
	isolatedSilenceDelay = 8 * time.Second
	// strangerSilenceDelay is silenceDelay if no voter answers.
	strangerSilenceDelay = 20 * time.Second
	// overruledPause is how long a host does not change the electorate without a quorum after a
	// quorum has replaced its change.
	overruledPause = time.Minute
)

// voterSilence is what this host knows about a missing quorum of the voters.
type voterSilence struct {
	// since is when the first of the polls without a quorum ended; zero if the last one had one.
	since time.Time
	// overruledAt is when this host learned that a quorum had replaced a change that had been begun
	// without one.
	overruledAt time.Time
}

// end records that a quorum has answered, or that the electorate has changed.
func (s *voterSilence) end() { s.since = time.Time{} }

// quorumAlive reports whether a quorum of the electorate seems to run.
func (c *controller) quorumAlive(now time.Time, listed map[string]*member, e electorate.Electorate) bool {
	return e.Quorum(func(address string) electorate.Vote {
		m, ok := listed[address]
		switch {
		case !ok:
			return electorate.VoteLeft
		case m == nil, m.alive(now):
			return electorate.VoteAgrees
		}
		return electorate.VoteMissing
	})
}

// mayCompleteWithoutQuorum reports whether the change of the electorate is so old that hosts which
// do not know it cannot be permitted to use primaries any more. Hosts of earlier builds may be.
func (c *controller) mayCompleteWithoutQuorum(now time.Time, listed map[string]*member) bool {
	vote := c.voteOnChange(listed)
	return horizonsKnown(listed, vote) && c.electorate.MayCompleteAt(now.Sub(c.electorate.inForceSince), vote)
}

// horizonsKnown reports whether the permission of each listed host that does not agree ends a limited
// time after the last read of the store.
func horizonsKnown(listed map[string]*member, vote func(address string) electorate.Vote) bool {
	for address, m := range listed {
		if m != nil && !m.HorizonKnown && vote(address) != electorate.VoteAgrees {
			return false
		}
	}
	return true
}

// noQuorumAnswered handles a poll of the hosts that no quorum of the present voters has answered. If
// that lasts, it begins a change of the electorate to the hosts that do answer.
func (c *controller) noQuorumAnswered(poll *hostPoll, present electorate.Electorate) {
	e, now := &c.electorate, boottime.Now()
	c.gw.metrics.Inc(metrics.ElectorateNoQuorum)
	e.retryAt = now.Add(proposalRetryDelay)
	if e.silence.since.IsZero() {
		e.silence.since, e.retryAt = now, now.Add(silenceRecheck)
		c.gw.events.log.Warn().Uint64("electorate", e.version).Int("voters", len(present.InForce())).Int("asked", len(poll.asked)).Int("answered", len(poll.replies)).
			Dict("silent", c.silentVoters(poll, present, now)).Msg("no majority of the voters answers")
	}
	overruled := !e.silence.overruledAt.IsZero() && now.Sub(e.silence.overruledAt) < overruledPause
	if overruled || now.Sub(e.silence.since) < requiredSilence(poll, present) || !c.mayChangeElectorate(now) {
		return
	}
	if present.Changing() && poll.quorum(electorate.Electorate{Voters: present.Voters}, c.leftVoters()) {
		// The change completes by its age. Another one would begin the wait anew.
		return
	}
	c.writeElectorate(present.Change(c.answeringHosts(poll)), true)
}

// requiredSilence returns for how long no quorum must have answered polls with such a result before
// the electorate may be changed.
func requiredSilence(poll *hostPoll, present electorate.Electorate) time.Duration {
	switch {
	case !slices.ContainsFunc(present.InForce(), poll.agrees):
		return strangerSilenceDelay
	case len(poll.replies)+1 < lease.Majority(len(poll.asked)+1):
		return isolatedSilenceDelay
	}
	return silenceDelay
}

// answeringHosts returns the addresses of this host and of the listed ones that answered the poll.
func (c *controller) answeringHosts(poll *hostPoll) []string {
	var out []string
	for address := range c.listedAddresses() {
		if poll.agrees(address) {
			out = append(out, address)
		}
	}
	return out
}

// silentVoters returns for the log how long ago the voters that did not answer the poll were last in
// contact with this host, by address.
func (c *controller) silentVoters(poll *hostPoll, present electorate.Electorate, now time.Time) *zerolog.Event {
	out, listed := zerolog.Dict(), c.listedAddresses()
	for _, address := range present.InForce() {
		if poll.agrees(address) {
			continue
		}
		m := listed[address]
		switch {
		case m == nil:
			out.Str(address, "has no row")
		case m.lastContact.IsZero():
			out.Str(address, "never in contact")
		default:
			out.Str(address, "last in contact "+now.Sub(m.lastContact).Round(time.Millisecond).String()+" ago")
		}
	}
	return out
}
