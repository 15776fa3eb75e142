package gateway

import (
	"maps"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against a holder of a claim that does not wait for a host whose row was removed more than a
// permission's duration ago, but is still listed in the mirrors of a majority that the removal has
// not reached: these give the host a permission until they acknowledge the claim.
func TestHostListedByMajorityOnlyIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	m := newMembershipModel(0, 5)
	clear(m.withoutStore)
	clear(m.separated)
	// The removal reaches the holder only. The other hosts reach each other, but not the store.
	m.stop("h02")
	m.list("h01")
	holder := m.hosts["h01"]
	holder.startedAt = m.start.Add(-time.Minute)
	holder.removals.departures["h02"] = departure{at: m.now, version: holder.tables[TableState].Through()}
	m.now = m.now.Add(permission.Duration + 100*time.Millisecond)
	m.run("h02")
	m.now = m.now.Add(longestFencePoll)
	restarted := m.hosts["h02"]
	for _, name := range []string{"h03", "h04", "h05"} {
		versions := map[TableName]uint64{TableState: restarted.tables[TableState].Through()}
		restarted.applyGossip(m.hosts[name].gossipMessage(m.now, versions), m.now)
	}
	// The holder reaches these three hosts again and writes a claim.
	m.list("h01")
	claim := FenceState{Term: 1, Version: m.write(claimPrefix+"g", encodeRecord(claimRecord{Holder: "h01", Term: 1}))}
	poll := hostPoll{own: "h01", replies: make(map[string]FenceReply)}
	for _, name := range []string{"h03", "h04", "h05"} {
		m.hosts[name].gw.group("g").setFence(claim, m.now)
		poll.replies[name] = FenceReply{}
	}
	m.list("h01")
	voters := holder.decidingVoters()
	g.Expect(poll.quorum(voters, holder.leftVoters())).To(BeTrue())
	g.Expect(restarted.gw.primaryPermitted(m.now)).To(BeTrue())
	g.Expect(restarted.gw.group("g").fence.Version).To(BeNumerically("<", claim.Version))
	g.Expect(holder.accountedFor(&poll, voters, 0, m.now)).To(BeFalse())

	// Two of the three have known the removal for long enough.
	unsettled := poll
	unsettled.replies = maps.Clone(poll.replies)
	version := max(holder.removals.missed, holder.removals.departures["h02"].version)
	for _, name := range []string{"h03", "h04"} {
		poll.replies[name] = FenceReply{SettledVersion: version}
	}
	holder.gw.settledVersion.Store(version)
	g.Expect(holder.accountedFor(&poll, voters, 0, m.now)).To(BeTrue())

	// The removed host answers.
	unsettled.replies["h02"] = FenceReply{}
	holder.removals.missed = 0
	g.Expect(holder.accountedFor(&unsettled, voters, 0, m.now)).To(BeTrue())
}

// Guards against a host that states a version which it has known for too short a time.
func TestVersionIsSettledAfterDurationOfPermission(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var r hostRemovals
	at := func(age time.Duration, through uint64) uint64 { return r.sample(start.Add(age), through) }
	g.Expect(at(0, 5)).To(BeZero())
	g.Expect(at(permission.Duration-1, 5)).To(BeZero())
	g.Expect(at(permission.Duration, 6)).To(BeEquivalentTo(5))
	g.Expect(at(2*permission.Duration-1, 7)).To(BeEquivalentTo(5))
	g.Expect(at(2*permission.Duration, 7)).To(BeEquivalentTo(6))
	g.Expect(at(9*permission.Duration, 7)).To(BeEquivalentTo(7))
	g.Expect(len(r.samples)).To(Equal(1))
}

// Guards against a removal that a host has missed, as it did not read the store for longer than a
// permission lasts.
func TestGapInTheMirrorCountsAsRemoval(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now)[0]
	c.tables[TableState].Apply(nil, 0, 7)
	c.markComplete(TableState, now.Add(permission.Duration))
	g.Expect(c.removals.missed).To(BeZero())
	c.markComplete(TableState, now.Add(2*permission.Duration+time.Millisecond))
	g.Expect(c.removals.missed).To(BeEquivalentTo(7))
}
