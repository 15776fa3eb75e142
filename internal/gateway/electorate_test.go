package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/access"
	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// countingPeers counts gossip calls and answers none of them.
type countingPeers struct {
	PeerClient
	calls *atomic.Int64
}

// Exchange implements PeerClient.
func (p countingPeers) Exchange(context.Context, string, GossipMessage) (GossipMessage, error) {
	p.calls.Add(1)
	return GossipMessage{}, errNoQuorum
}

// Refused implements PeerClient.
func (countingPeers) Refused(error) bool { return false }

// Guards against a change of the electorate that cannot be completed during a network
// partition and makes hosts call all others again and again.
func TestUncompletedChangeDoesNotMultiplyCalls(t *testing.T) {
	g := NewWithT(t)
	const size = 133
	now := boottime.Now()
	var calls atomic.Int64
	for _, c := range controllersOfFleet(size, now) {
		c.electorate.Electorate = electorateOfFleet(size).Change([]string{"h0", "h1"})
		c.electorate.version, c.electorate.changedAt = 5, now
		c.tables[TableState].Apply(nil, 0, 5)
		c.listedSinceVersion = 3
		c.electorate.dueSince = now.Add(-time.Minute)
		c.resolveVoters()
		c.gw.cfg.Peers = countingPeers{calls: &calls}
		c.maintainElectorate(now)
	}
	g.Eventually(calls.Load, time.Second).Should(Equal(int64(electorateRanks * maxInformCalls)))
	g.Consistently(calls.Load, 100*time.Millisecond).Should(Equal(int64(electorateRanks * maxInformCalls)))
}

// Guards against a change that is completed although too few former voters know it, and
// against one that is never completed because a former voter has stopped.
func TestChangeCompletesOnceFormerVotersKnowIt(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(5, now)[0]
	c.electorate.Electorate = electorateOfFleet(5).Change([]string{"h0", "h1", "h2"})
	c.electorate.version, c.electorate.changedAt = 5, now
	next := func() electorate.Electorate { return c.nextElectorate(now, c.listedAddresses()) }
	c.members["h1"].mirrorVersions = map[TableName]uint64{TableState: 5}
	c.members["h2"].mirrorVersions = map[TableName]uint64{TableState: 4}
	g.Expect(next().Changing()).To(BeTrue(), "two of five know it")
	delete(c.members, "h4")
	g.Expect(next()).To(Equal(electorate.New([]string{"h0", "h1", "h2"}, nil)), "two of the four that have not stopped, with the first one")
}

// Guards against hosts that all read the store without pause until the first electorate is
// written: 1,600 more calls on a quiet day of svfb-trestle-grown.
func TestHostsDoNotReadForWantOfAnElectorate(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	due := 0
	for _, c := range controllersOfFleet(133, now.Add(-claimsThresholds.readerAge)) {
		c.electorate.Electorate = electorate.Electorate{}
		c.listedSinceVersion = 3
		c.tables[TableState].Apply(nil, 0, 7)
		c.resolveVoters()
		c.updatePermission()
		if c.claimsReadDue(now) {
			due++
		}
	}
	g.Expect(due).To(Equal(claimsThresholds.readers))
}

// Guards against voters that are dropped although they answer, because some call to them was
// answered late: after a network partition the electorate of 106 hosts changed every 0.7 s between
// 58 and 106 voters, and most teams had no lender of tokens for 4 s.
func TestVotersThatAnswerThePollStay(t *testing.T) {
	g := NewWithT(t)
	present := electorate.New([]string{"a1", "a2", "a3"}, nil)
	replies := map[string]FenceReply{"a2": {}, "a4": {}}
	g.Expect(answeringVoters(replies, present)).To(Equal([]string{"a2"}))
}

// Guards against an age of the electorate that is taken for that of another one, and against a
// host that lends at once under an electorate that has just come into force.
func TestAgeOfTheElectorateCountsForItsVersionOnly(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	lends := func(ageVersion uint64, inForce, storeTime time.Duration) bool {
		c := controllersOfFleet(1, now.Add(-time.Minute))[0]
		c.gw.cfg.Quota = quota.Rules{Window: time.Second, Slack: 100}
		c.gw.quota = newTeamQuota(c.gw.cfg)
		c.gw.quota.setLimits([]access.Team{{Name: "red", Limited: true, Rate: 10, Burst: 10}})
		age := electorateAgeRecord{Version: ageVersion, InForceMs: inForce.Milliseconds()}
		c.applyListing(TableState, Listing{Version: 9, StoreTime: storeTime, Rows: []rows.Row{
			{Key: electorateKey, Version: 8, Value: encodeRecord(electorateRecord{Electorate: electorate.New([]string{c.gw.cfg.Address}, nil)})},
			{Key: electorateAgeKey, Version: 9, Value: encodeRecord(age)},
		}})
		return c.gw.quota.lend(quota.Request{Team: "red", Wanted: 1}).Lender
	}
	g.Expect(lends(8, time.Hour, time.Hour+quota.RoleDelay)).To(BeTrue())
	g.Expect(lends(8, time.Hour, time.Hour+quota.RoleDelay-time.Millisecond)).To(BeFalse())
	g.Expect(lends(7, time.Hour, 2*time.Hour)).To(BeFalse())
}
