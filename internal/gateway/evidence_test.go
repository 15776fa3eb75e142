package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against a permission that rests on evidence which does not cover this host: a
// message that may have been delayed, a sender that does not know one of its groups or
// does not know of hosts that count for the majority, or evidence that is too old.
func TestEvidenceThatDoesNotCoverTheHostIsIgnored(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	age := 200 * time.Millisecond
	outdated := permission.Duration
	groups := []GroupState{{Group: "a"}, {Group: "b"}}
	versions := map[TableName]uint64{TableState: 7}
	permitted := func(msg GossipMessage, began time.Time) bool {
		c := controllerWithMembers(now.Add(-time.Minute), "h1", "h2", "h3")
		c.gw.currentGroups.Store(&map[string]*group{"a": newGroup("a", c.gw.pool), "b": newGroup("b", c.gw.pool)})
		c.tables[TableState].Apply(nil, 0, 7)
		c.listedSinceVersion = 3
		c.applyGossip(msg, began)
		return c.gw.primaryPermitted(now)
	}
	began := now.Add(-100 * time.Millisecond)
	g.Expect(permitted(GossipMessage{Host: "h1", EvidenceAge: &age, Groups: groups, MirrorVersions: versions}, began)).To(BeTrue())
	g.Expect(permitted(GossipMessage{Host: "h1", EvidenceAge: &age, Groups: groups, MirrorVersions: versions}, time.Time{})).To(BeFalse())
	g.Expect(permitted(GossipMessage{Host: "h1", EvidenceAge: &age, Groups: groups[:1], MirrorVersions: versions}, began)).To(BeFalse())
	g.Expect(permitted(GossipMessage{Host: "h1", EvidenceAge: &age, Groups: groups, MirrorVersions: map[TableName]uint64{TableState: 6}}, began)).To(BeFalse())
	g.Expect(permitted(GossipMessage{Host: "h1", EvidenceAge: &outdated, Groups: groups, MirrorVersions: versions}, began)).To(BeFalse())
	g.Expect(permitted(GossipMessage{Host: "h1", Groups: groups, MirrorVersions: versions}, began)).To(BeFalse())
}

// Guards against a host that passes evidence on although it is not listed, so that a host
// that replaces a primary does not ask it.
func TestOnlyListedHostPassesEvidenceOn(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllerWithMembers(now.Add(-time.Minute), "h1", "h2")
	c.markComplete(TableState, now.Add(-300*time.Millisecond))
	g.Expect(c.gossipMessage(now, nil).EvidenceAge).To(BeNil())
	c.tables[TableState].Apply(nil, 0, 7)
	c.listedSinceVersion = 3
	c.updatePermission()
	g.Expect(*c.gossipMessage(now, nil).EvidenceAge).To(Equal(300 * time.Millisecond))
}

// Guards against an answer whose fences were left out, because a number is out of range, that
// counts towards the majority: the host would keep its permission without knowing the claim.
func TestIncompleteAnswerDoesNotCountTowardsTheMajority(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now.Add(-time.Minute))[0]
	answer := GossipMessage{Host: "h1", Invalid: 1}
	c.applyGossip(answer, now)
	g.Expect(c.members["h1"].answeredAt).To(BeZero())
	answer.Invalid = 0
	c.applyGossip(answer, now)
	g.Expect(c.members["h1"].answeredAt).To(Equal(now))
}

// Guards against answers that count towards a majority although they do not cover what the
// electorate takes for granted: the answer of a host that knows changes which this host does
// not know, and that of a host that has begun to remove its row.
func TestAnswerOfVoterCountsOnlyWithAllItKnows(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	fleet := controllersOfFleet(3, now.Add(-time.Minute))
	c := fleet[0]
	answer := GossipMessage{Host: "h1", MirrorVersions: map[TableName]uint64{TableState: 7}}
	c.applyGossip(answer, now)
	g.Expect(c.members["h1"].answeredAt).To(BeZero())
	answer.Tables = []TableChanges{{Table: TableState, From: 0, Through: 7}}
	c.applyGossip(answer, now)
	g.Expect(c.members["h1"].answeredAt).To(Equal(now))
	c.members["h2"].Incarnation = fleet[2].incarnation
	fleet[2].unregistering = true
	c.applyGossip(fleet[2].gossipMessage(now, nil), now)
	g.Expect(c.members["h2"].answeredAt).To(BeZero())
}

// Guards against a host that counts itself towards a majority although it has restarted, so
// that it does not know which claims it had acknowledged, and has not read the store since.
func TestRestartedHostIsNoVoterBeforeItsRowIsWritten(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now.Add(-time.Minute))[0]
	row := func(version, incarnation uint64) rows.Row {
		return rows.Row{Key: "host/h0", Version: version, Value: encodeRecord(hostRecord{Name: "h0", Address: "h0", Incarnation: incarnation})}
	}
	c.applyChanges(TableChanges{Table: TableState, Through: 5, Rows: []rows.Row{row(5, c.incarnation+1)}})
	g.Expect(c.voterAnswers()[0].Self).To(BeFalse())
	c.applyChanges(TableChanges{Table: TableState, From: 5, Through: 6, Rows: []rows.Row{row(6, c.incarnation)}})
	g.Expect(c.voterAnswers()[0].Self).To(BeTrue())
}

// Guards against a host that uses primaries after it has begun to remove its row, from when on
// no failover waits for it.
func TestStoppingHostHasNoPermission(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now)[0]
	c.tables[TableState].Apply(nil, 0, 7)
	c.listedSinceVersion = 3
	c.updatePermission()
	g.Expect(c.gw.primaryPermitted(now)).To(BeTrue())
	c.unregistering = true
	c.updatePermission()
	g.Expect(c.gw.primaryPermitted(now)).To(BeFalse())
}

// Guards against a refused connection that counts towards a permission: if it counted there
// and for the host that replaces the primary, two hosts that are cut off from each other would
// both have a majority with a third one that does not run.
func TestHostThatDoesNotRunGivesNoPermission(t *testing.T) {
	g := NewWithT(t)
	now := boottime.Now()
	c := controllersOfFleet(3, now.Add(-time.Minute))[0]
	c.gw.cfg.Peers = refusingPeers{}
	c.recordFailedCall("h1", errors.New("connection refused"))
	g.Expect(c.members["h1"].alive(now)).To(BeFalse())
	c.updatePermission()
	g.Expect(c.gw.primaryPermitted(now)).To(BeFalse())
}

// refusingPeers is a PeerClient whose calls find that no process listens.
type refusingPeers struct{ PeerClient }

// Refused implements PeerClient.
func (refusingPeers) Refused(error) bool { return true }
