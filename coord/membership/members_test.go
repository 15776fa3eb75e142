package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/membership"
	"github.com/beryltrestle/beryltrestle/coord/placement"
)

var t0 = time.Unix(1000, 0)

func members() *membership.Members {
	m := membership.New()
	m.Configure([]membership.Host{
		{Host: placement.Host{Name: "a"}}, {Host: placement.Host{Name: "b"}},
	})
	return m
}

func names(m *membership.Members) []string {
	var ns []string
	for _, h := range m.Placeable() {
		ns = append(ns, h.Name)
	}
	return ns
}

// Guards against an outdated copy of the host list that makes a leaving host live again.
func TestOlderListChangesNothing(t *testing.T) {
	g := NewWithT(t)
	m := members()
	g.Expect(m.SetHostList(7, []membership.ListedHost{{Name: "a", Leaving: true}, {Name: "b"}})).To(BeTrue())
	g.Expect(m.SetHostList(6, []membership.ListedHost{{Name: "a"}, {Name: "b"}})).To(BeFalse())
	g.Expect(names(m)).To(Equal([]string{"b"}))
}

// Guards against groups that are placed on a host that has announced that it leaves, and
// against a new process of the host that takes no part because the former one left.
func TestLeaveCountsForOneIncarnation(t *testing.T) {
	g := NewWithT(t)
	m := members()
	g.Expect(m.RecordHeartbeat(t0, membership.Heartbeat{Name: "a", Incarnation: 1, Leaving: true})).To(BeTrue())
	g.Expect(m.RecordHeartbeat(t0, membership.Heartbeat{Name: "a", Incarnation: 1})).To(BeFalse())
	g.Expect(names(m)).To(Equal([]string{"b"}))
	g.Expect(m.RecordHeartbeat(t0, membership.Heartbeat{Name: "a", Incarnation: 2})).To(BeTrue())
	g.Expect(names(m)).To(Equal([]string{"a", "b"}))
}

// Guards against a host that drops out of placement because one daemon receives no
// heartbeats from it.
func TestSuspectedHostIsStillPlaced(t *testing.T) {
	g := NewWithT(t)
	m := members()
	m.RecordHeartbeat(t0, membership.Heartbeat{Name: "a"})
	later := t0.Add(membership.SuspectAfter)
	g.Expect(m.State(later, "a")).To(Equal(membership.Suspected))
	g.Expect(m.State(later, "b")).To(Equal(membership.Live))
	g.Expect(names(m)).To(Equal([]string{"a", "b"}))
}
