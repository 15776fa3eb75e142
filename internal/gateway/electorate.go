package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// electorateInterval is how often a host compares the electorate with the listed hosts.
	electorateInterval = 250 * time.Millisecond
	// electorateRankDelay is how much longer each host waits than the one ranked before it
	// until it changes the electorate.
	electorateRankDelay = time.Second
	// electorateRanks is the number of hosts that change the electorate, so that a change
	// that finds no quorum does not make all hosts call all others.
	electorateRanks = 3
	// proposalRetryDelay is the pause after a change for which no quorum answered.
	proposalRetryDelay = 2 * time.Second
	// maxInformCalls limits the calls per electorateInterval by which a host tells former
	// voters of a change.
	maxInformCalls = 24
	// settleTime is how long no host must have joined before the first electorate is
	// written. All hosts start at about the same time then.
	settleTime = 300 * time.Millisecond
	// leftVoterGrace is how long a host that has stopped stays a voter. A host that is
	// only restarted is back before, so that a restart does not change the electorate.
	leftVoterGrace = 5 * time.Second
	// electorateChangeTimeout is the age at which the new voters of an uncompleted change
	// may be replaced.
	electorateChangeTimeout = 2 * time.Second
)

// electorateState is what this host knows about the hosts that count towards majorities.
type electorateState struct {
	electorate.Electorate
	// version is the version of the row; 0 if there is none. A row that cannot be decoded
	// has a version and no voters.
	version uint64
	// base and unconfirmed are those of the row; see electorateRecord.
	base        uint64
	unconfirmed bool
	// writtenVersion is the newest version that this host has written.
	writtenVersion uint64
	// ownAddress is the address in this host's row; empty unless this incarnation wrote
	// the row that the mirror holds.
	ownAddress string
	// sets holds the voters of each set as members.
	sets []voterSet
	// changedAt is when this host learned of the present electorate, and inForceSince when that is
	// known to have been in the store, by the store's clock if other hosts have known it for longer.
	changedAt, inForceSince time.Time
	// unlistedSince holds, by address, when this host found that a voter has no row.
	unlistedSince map[string]time.Time
	lastCheck     time.Time
	// dueSince is when a change became due; zero if none is.
	dueSince time.Time
	// retryAt is when the next change may be proposed after one found no quorum.
	retryAt time.Time
	// writing is true while this host writes a change, and writingAge while it writes the age of
	// the electorate.
	writing, writingAge bool
	silence             voterSilence
}

// voterSet is one set of voters, of which a majority must answer.
type voterSet struct {
	// self is true if this host is one of them.
	self bool
	// others holds the other voters; nil for those whose row this host does not know.
	others []*member
}

// applyElectorate applies the row of the electorate.
func (c *controller) applyElectorate(r rows.Row) {
	e := &c.electorate
	now := boottime.Now()
	before, unconfirmed := e.Electorate, e.unconfirmed
	e.Electorate, e.version, e.base, e.unconfirmed = electorate.Electorate{}, r.Version, 0, false
	e.changedAt, e.inForceSince = now, now
	e.silence.end()
	if r.Deleted {
		e.version = 0
		return
	}
	record, err := decodeRecord[electorateRecord](r)
	if err != nil {
		c.gw.events.log.Warn().Err(err).Msg("electorate row cannot be decoded")
		return
	}
	e.Electorate, e.base, e.unconfirmed = record.Electorate, record.Base, record.Unconfirmed
	if unconfirmed && !record.Unconfirmed && !record.Equal(before.Complete()) {
		e.silence.overruledAt = now
	}
	c.gw.events.log.Info().Int("voters", len(e.Voters)).Int("former", len(e.Former)).Bool("unconfirmed", e.unconfirmed).Uint64("version", r.Version).Msg("electorate changed")
}

// resolveVoters looks up the members that are voters. It must be called after each change of
// the electorate or of the rows of hosts.
func (c *controller) resolveVoters() {
	byAddress := make(map[string]*member, len(c.members))
	for _, m := range c.members {
		byAddress[m.Address] = m
	}
	c.electorate.sets = nil
	for _, set := range c.electorate.Sets() {
		var resolved voterSet
		for _, address := range set {
			if address == c.electorate.ownAddress {
				resolved.self = true
				continue
			}
			resolved.others = append(resolved.others, byAddress[address])
		}
		c.electorate.sets = append(c.electorate.sets, resolved)
	}
}

// voterAnswers returns when the voters of each set last answered this host. Answers that do not
// count since this host started are left out.
func (c *controller) voterAnswers() []permission.Voters {
	out := make([]permission.Voters, 0, len(c.electorate.sets))
	for _, set := range c.electorate.sets {
		v := permission.Voters{Self: set.self, Answered: make([]time.Time, len(set.others))}
		for i, m := range set.others {
			if m != nil && c.countsSinceStart(m.answeredAt) {
				v.Answered[i] = m.answeredAt
			}
		}
		out = append(out, v)
	}
	return out
}

// voters returns the members that count towards majorities.
func (c *controller) voters() map[*member]bool {
	out := make(map[*member]bool, len(c.members))
	for _, set := range c.electorate.sets {
		for _, m := range set.others {
			if m != nil {
				out[m] = true
			}
		}
	}
	return out
}

// decidingVoters returns the electorate. Before there is one, no permission rests on answers
// of other hosts, and the listed hosts decide.
func (c *controller) decidingVoters() electorate.Electorate {
	if c.electorate.Sets() != nil {
		return c.electorate.Electorate
	}
	return electorate.New(slices.Collect(maps.Keys(c.listedAddresses())), nil)
}

// noneLeft is used where it is not known which voters have left.
func noneLeft(string) bool { return false }

// leftVoters returns a function that reports whether a voter has no row, so that it has ended
// by itself: only hosts that are no voters lose their row otherwise.
func (c *controller) leftVoters() func(address string) bool {
	listed := c.listedAddresses()
	return func(address string) bool {
		_, ok := listed[address]
		return !ok
	}
}

// ownAddress returns the address by which this host is known.
func (c *controller) ownAddress() string {
	return cmp.Or(c.electorate.ownAddress, c.gw.cfg.Address)
}

// listedAddresses returns the addresses of all listed hosts, including this one.
func (c *controller) listedAddresses() map[string]*member {
	out := make(map[string]*member, len(c.members)+1)
	for _, m := range c.members {
		out[m.Address] = m
	}
	out[c.ownAddress()] = nil
	return out
}

// maintainElectorate begins and completes changes of the electorate. The live host that ranks
// first does so, and the next ones if it does not. The writes are conditional in case two
// hosts do so at once.
func (c *controller) maintainElectorate(now time.Time) {
	e := &c.electorate
	if now.Sub(e.lastCheck) < electorateInterval {
		return
	}
	e.lastCheck = now
	listed := c.listedAddresses()
	c.trackUnlistedVoters(now, listed)
	if !c.mayChangeElectorate(now) {
		return
	}
	next := c.nextElectorate(now, listed)
	stuck := !e.Changing() && e.version > 0 && !c.quorumAlive(now, listed, e.Electorate)
	switch {
	case next.Equal(e.Electorate) && !e.Changing() && !stuck:
		e.dueSince = time.Time{}
		e.silence.end()
		return
	case e.dueSince.IsZero():
		e.dueSince = now
	}
	rank := c.rankInGroup(now, storeReadersGroup)
	if rank >= electorateRanks || now.Sub(e.dueSince) < time.Duration(rank)*electorateRankDelay {
		return
	}
	switch {
	case next.Equal(e.Electorate) && e.Changing():
		c.informFormerVoters(now, listed)
	case e.version == 0 || e.Changing() && !next.Changing():
		c.writeElectorate(next, false)
	case !now.Before(e.retryAt):
		c.proposeElectorate(next)
	}
}

// mayChangeElectorate reports whether this host knows enough to change the electorate.
func (c *controller) mayChangeElectorate(now time.Time) bool {
	e := &c.electorate
	if e.writing || c.leaving || e.ownAddress == "" || !c.isListed() {
		return false
	}
	// The rows of the hosts must be at least as new as the electorate.
	return c.tables[TableState].Through() >= max(e.version, e.writtenVersion) && !c.claimsTooOld(now)
}

// informFormerVoters calls former voters that have not told that they know the change.
func (c *controller) informFormerVoters(now time.Time, listed map[string]*member) {
	calls := 0
	for _, address := range c.electorate.Former {
		m := listed[address]
		if m == nil || m.mirrorVersions[TableState] >= c.electorate.version || m.callInFlight || m.failedRecently(now) {
			continue
		}
		if calls++; calls > maxInformCalls {
			return
		}
		m.calledAt, m.callInFlight = now, true
		c.startExchange(m.Name, m.Address, c.gossipMessage(now, m.mirrorVersions))
	}
}

// nextElectorate returns the electorate that should follow the present one, or the present
// one if no change is due.
func (c *controller) nextElectorate(now time.Time, listed map[string]*member) electorate.Electorate {
	e := &c.electorate
	vote := c.voteOnChange(listed)
	// Voters that do not answer must not come into force: they might never be replaced.
	lasts := c.quorumAlive(now, listed, electorate.Electorate{Voters: e.Voters})
	switch {
	case e.version == 0 && !c.settled(now):
		return e.Electorate
	case e.unconfirmed && e.MayComplete(vote):
		// The former voters are alive. They decide, unless they would choose the same voters.
		if next := e.Change(c.desiredVoters(now, listed)); !next.Equal(e.Electorate) {
			return next
		}
		return e.Complete()
	case e.Changing() && lasts && (e.MayComplete(vote) || c.mayCompleteWithoutQuorum(now, listed)):
		return e.Complete()
	case e.Changing() && (e.unconfirmed && lasts || now.Sub(e.changedAt) < electorateChangeTimeout):
		return e.Electorate
	}
	return e.Change(c.desiredVoters(now, listed))
}

// settled reports whether no host has joined for settleTime.
func (c *controller) settled(now time.Time) bool {
	newest := c.startedAt
	for _, m := range c.members {
		if m.knownSince.After(newest) {
			newest = m.knownSince
		}
	}
	return now.Sub(newest) >= settleTime
}

// trackUnlistedVoters records since when voters have had no row.
func (c *controller) trackUnlistedVoters(now time.Time, listed map[string]*member) {
	since := make(map[string]time.Time)
	for _, address := range c.electorate.Voters {
		if _, ok := listed[address]; ok {
			continue
		}
		since[address] = now
		if at, ok := c.electorate.unlistedSince[address]; ok {
			since[address] = at
		}
	}
	c.electorate.unlistedSince = since
}

// desiredVoters returns the addresses of the hosts that should be voters: the listed ones
// except for those whose row is to be removed, and the voters that have just stopped.
func (c *controller) desiredVoters(now time.Time, listed map[string]*member) []string {
	unresponsive := c.unresponsiveMemberRows(now)
	var out []string
	for address, m := range listed {
		if m != nil {
			if _, ok := unresponsive[m.Name]; ok {
				continue
			}
		}
		out = append(out, address)
	}
	for address, at := range c.electorate.unlistedSince {
		if now.Sub(at) < leftVoterGrace {
			out = append(out, address)
		}
	}
	return out
}

// voteOnChange returns the votes on the completion of a change: a host agrees if it has told
// that it knows the change.
func (c *controller) voteOnChange(listed map[string]*member) func(string) electorate.Vote {
	version := c.electorate.version
	return func(address string) electorate.Vote {
		m, ok := listed[address]
		switch {
		case !ok:
			return electorate.VoteLeft
		case m == nil, m.mirrorVersions[TableState] >= version:
			return electorate.VoteAgrees
		}
		return electorate.VoteMissing
	}
}

// proposeElectorate begins a change if a quorum of the present voters answers. A host that is
// cut off from them could not complete it, and decisions would need its side until then.
func (c *controller) proposeElectorate(next electorate.Electorate) {
	present, left := c.electorate.Electorate, c.leftVoters()
	own, addresses := c.ownAddress(), c.withVoters(c.primaryUsers(boottime.Now()), present)
	request, ok := c.pollRequest()
	if !ok {
		return
	}
	c.electorate.writing = true
	c.spawn("propose electorate", func() {
		poll := c.pollHosts(c.gw.ctx, own, addresses, request, primaryReportTimeout)
		c.submit(func() {
			c.electorate.writing = false
			if !c.electorate.Equal(present) {
				return
			}
			if !poll.quorum(present.Completed(), left) {
				c.noQuorumAnswered(&poll, present)
				return
			}
			c.electorate.silence.end()
			next := present.Change(append(newVoters(next.Voters, &poll, present), answeringVoters(poll.replies, present)...))
			if next.Equal(present) {
				c.electorate.retryAt = boottime.Now().Add(proposalRetryDelay)
				return
			}
			c.writeElectorate(next, false)
		})
	})
}

// answeringVoters returns the addresses of the present voters that have answered a poll. They stay
// voters whatever other hosts report. In a large fleet a single late answer makes a host look
// unresponsive, and each change of the electorate makes some lenders of tokens wait.
func answeringVoters(replies map[string]FenceReply, present electorate.Electorate) []string {
	var out []string
	for address := range replies {
		if present.Includes(address) {
			out = append(out, address)
		}
	}
	return out
}

// newVoters returns the desired voters without hosts that are no voters and have not answered the poll.
// A host that has just started does not know which listed hosts are lost, and would make them voters.
func newVoters(desired []string, poll *hostPoll, present electorate.Electorate) []string {
	return slices.DeleteFunc(slices.Clone(desired), func(address string) bool {
		return !present.Includes(address) && !poll.agrees(address)
	})
}

// pollRequest returns a request that asks hosts for an answer without any effect. It returns
// false if no group is known yet, as no host could answer.
func (c *controller) pollRequest() (FenceRequest, bool) {
	for group := range *c.gw.currentGroups.Load() {
		return FenceRequest{Group: group, QueryOnly: true}, true
	}
	return FenceRequest{}, false
}

// writeElectorate writes the electorate on the condition that it has not changed. unconfirmed is true
// if no quorum of the present voters has answered.
func (c *controller) writeElectorate(next electorate.Electorate, unconfirmed bool) {
	version, base := c.electorate.version, c.electorate.version
	if c.electorate.Changing() {
		base = c.electorate.base
	}
	c.electorate.writing = true
	c.spawn("write electorate", func() {
		written, err := c.writeStateRow(c.gw.ctx, electorateKey, version, encodeRecord(electorateRecord{Electorate: next, Base: base, Unconfirmed: unconfirmed}))
		c.submit(func() {
			c.electorate.writing = false
			if err != nil {
				return
			}
			c.electorate.writtenVersion, c.electorate.dueSince = written, time.Time{}
			c.gw.metrics.Inc(metrics.ElectorateChanges)
			c.gw.events.log.Info().Int("voters", len(next.Voters)).Int("former", len(next.Former)).Bool("unconfirmed", unconfirmed).Uint64("version", written).Msg("electorate written")
		})
	})
}

// withVoters adds the voters that are missing from the addresses.
func (c *controller) withVoters(addresses map[string]string, e electorate.Electorate) map[string]string {
	asked := map[string]bool{c.ownAddress(): true}
	for _, address := range addresses {
		asked[address] = true
	}
	for _, set := range e.Sets() {
		for _, address := range set {
			if !asked[address] {
				asked[address] = true
				addresses["voter "+address] = address
			}
		}
	}
	return addresses
}
