package succession_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/succession"
)

var now = time.Unix(1000, 0)

func ago(d time.Duration) time.Time { return now.Add(-d) }

// Guards against a failover because of one lost connection, and against two hosts that
// begin a failover at the same time.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name string
		view succession.View
		want succession.Reason
	}{
		{"nothing wrong", succession.View{Successors: 2}, succession.ReasonNone},
		{"one failed probe", succession.View{Successors: 2, UnreachableSince: ago(100 * time.Millisecond)}, succession.ReasonNone},
		{"unreachable", succession.View{Successors: 2, UnreachableSince: ago(300 * time.Millisecond)}, succession.ReasonUnreachable},
		{"a host ranked before waits less", succession.View{Successors: 2, Rank: 1, UnreachableSince: ago(300 * time.Millisecond)}, succession.ReasonNone},
		{"the host ranked before does nothing", succession.View{Successors: 2, Rank: 1, UnreachableSince: ago(time.Second)}, succession.ReasonUnreachable},
		{"no possible successor", succession.View{UnreachableSince: ago(time.Minute)}, succession.ReasonNone},
		{"a failover is running", succession.View{Successors: 2, FencedAt: ago(time.Second), UnreachableSince: ago(2 * time.Second)}, succession.ReasonNone},
		{"a failover has stalled", succession.View{Successors: 2, FencedAt: ago(3 * time.Second)}, succession.ReasonStalled},
		{"aborted just now", succession.View{Successors: 2, AbortedAt: ago(100 * time.Millisecond), LostSince: ago(time.Second)}, succession.ReasonNone},
		{"own failover was aborted", succession.View{Successors: 2, HoldsClaim: true, FencedAt: ago(time.Second), AbortedAt: ago(time.Second)}, succession.ReasonStalled},
		{"endpoints are not listed yet", succession.View{Successors: 2, NeverSawPrimary: true, LostSince: ago(time.Second)}, succession.ReasonNone},
		{"no primary after a start", succession.View{Successors: 2, NeverSawPrimary: true, LostSince: ago(4 * time.Second)}, succession.ReasonLost},
		{"draining", succession.View{Successors: 1, DrainingSince: ago(time.Millisecond)}, succession.ReasonDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.view.Now = now
			NewWithT(t).Expect(succession.Decide(c.view)).To(Equal(c.want))
		})
	}
}

// Guards against a caller that does not determine the rank, because NeedsNoFailover
// returns true, although Decide needs it.
func TestNeedsNoFailoverOnlyWithoutAnyCondition(t *testing.T) {
	g := NewWithT(t)
	g.Expect(succession.View{Now: now, Successors: 2, AbortedAt: ago(time.Minute)}.NeedsNoFailover()).To(BeTrue())
	for _, v := range []succession.View{
		{DrainingSince: now}, {UnreachableSince: now}, {LostSince: now}, {FencedAt: now},
	} {
		g.Expect(v.NeedsNoFailover()).To(BeFalse())
	}
}

// Guards against the loss of acknowledged commits that a replica has, and against a
// successor that is about to leave.
func TestChooseTheMostAdvancedLog(t *testing.T) {
	g := NewWithT(t)
	at := func(n uint64) logpos.Position { return logpos.Position{Term: 3, Offset: n} }
	best, ok := succession.Choose([]succession.Candidate{
		{ID: "a", Received: at(5)}, {ID: "b", Received: at(9)}, {ID: "c", Received: at(9), Draining: true},
	}, true)
	g.Expect(ok).To(BeTrue())
	g.Expect(best.ID).To(Equal("b"))
	leaving := []succession.Candidate{{ID: "a", Received: at(5)}, {ID: "c", Received: at(9), Draining: true}}
	best, _ = succession.Choose(leaving, true)
	g.Expect(best.ID).To(Equal("c"))
	best, _ = succession.Choose(leaving, false)
	g.Expect(best.ID).To(Equal("a"))
	_, ok = succession.Choose(nil, true)
	g.Expect(ok).To(BeFalse())
}

// Guards against a promotion that loses a commit that only an unreachable replica has
// confirmed.
func TestEnoughAnswersForSynchronousCommits(t *testing.T) {
	g := NewWithT(t)
	g.Expect(succession.HasQuorum(1, 2, 0)).To(BeTrue())
	g.Expect(succession.HasQuorum(1, 2, 1)).To(BeFalse())
	g.Expect(succession.HasQuorum(2, 2, 1)).To(BeTrue())
	g.Expect(succession.HasQuorum(0, 2, 0)).To(BeFalse())
}
