package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/permission"
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
