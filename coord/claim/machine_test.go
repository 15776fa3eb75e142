package claim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// newOwnedCluster returns a cluster in which the first daemon owns the group in term 1.
func newOwnedCluster(t *testing.T, daemons int) (*WithT, *cluster) {
	g := NewWithT(t)
	cl := newCluster(daemons, 3, t.Fatalf)
	cl.runFor(time.Second)
	g.Expect(cl.owner()).To(BeIdenticalTo(cl.daemons[0]))
	return g, cl
}

// runUntil runs the cluster until the condition holds, and fails at the time limit.
func (cl *cluster) runUntil(limit time.Duration, what string, done func() bool) {
	for end := cl.now + limit; !done(); {
		if cl.now >= end {
			cl.fail("not reached within %v: %s", limit, what)
		}
		cl.runFor(stepTime)
	}
}

// Guards against a lease that starts when an answer arrives instead of when the call
// started: the endpoint may have granted a higher term since it answered.
func TestLeaseStartsWithTheCall(t *testing.T) {
	g, cl := newOwnedCluster(t, 1)
	cl.delivery = func() delivery { return delivery{answerDelay: 150 * time.Millisecond} }
	cl.runFor(time.Second)
	for range 100 {
		cl.runFor(stepTime)
		g.Expect(cl.local(cl.daemons[0]).Sub(cl.daemons[0].state.LeaseStart)).To(BeNumerically(">=", 140*time.Millisecond))
	}
}

// Guards against an owner that takes its group back from another owner and confirms
// writes while the other owner's lease may still be valid.
func TestOwnerThatReturnsWaitsForEarlierLease(t *testing.T) {
	g, cl := newOwnedCluster(t, 2)
	a, b := cl.daemons[0], cl.daemons[1]
	a.paused = true
	cl.runUntil(4*time.Second, "second owner", func() bool { return cl.owner() == b })
	g.Expect(b.state.ConfirmAfter.Sub(cl.local(b))).To(BeNumerically(">", lease.Duration))
	cl.resume(a)
	cl.runFor(time.Second)
	b.paused = true
	cl.runUntil(6*time.Second, "third owner", func() bool { return cl.owner() == a })
	g.Expect(a.state.Term).To(BeEquivalentTo(3))
	g.Expect(a.state.ConfirmAfter.Sub(cl.local(a))).To(BeNumerically(">", lease.Duration))
}

// Guards against a successor that confirms writes too early: the leaving owner must not
// hand over before the lease of its own predecessor has ended, since the successor does
// not wait for it.
func TestHandoverWaitsForEarlierLease(t *testing.T) {
	g, cl := newOwnedCluster(t, 3)
	cl.daemons[0].paused = true
	b := cl.daemons[1]
	cl.runUntil(4*time.Second, "second owner", func() bool { return cl.owner() == b })
	end := b.state.ConfirmAfter
	cl.deliver(b, claim.Leave{})
	cl.runUntil(4*time.Second, "successor", func() bool { return cl.owner() == cl.daemons[2] })
	g.Expect(cl.daemons[2].state.Term).To(BeEquivalentTo(3))
	g.Expect(cl.local(cl.daemons[2])).To(BeTemporally(">=", end))
}

// Guards against reads that miss writes of an earlier owner: until a majority has
// received the marker, the log before it may still be lost. Also guards against
// candidates that replace one another while replicas are far behind.
func TestOwnedOnlyOnceMarkerIsReceived(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(2, 3, t.Fatalf)
	for i := range 1000 {
		cl.step()
		if i%20 == 0 {
			cl.heartbeat(cl.daemons[0])
		}
	}
	g.Expect(cl.daemons[0].state.Term).To(BeEquivalentTo(1))
	g.Expect(cl.daemons[0].state.Phase).To(Equal(claim.PhaseAwaitingMarker))
	g.Expect(cl.daemons[0].state.Owned).To(BeFalse())
	cl.runFor(claim.PollInterval + 2*stepTime)
	g.Expect(cl.daemons[0].state.Owned).To(BeTrue())
}

// Guards against a candidate that misses heartbeats and replaces an owner whose
// heartbeats others receive.
func TestPreVoteKeepsLiveOwner(t *testing.T) {
	g, cl := newOwnedCluster(t, 3)
	for range 500 {
		cl.step()
		cl.deliver(cl.daemons[2], claim.HeartbeatReceived{Owner: cl.daemons[0].state.Owner})
	}
	g.Expect(cl.daemons[0].state.Term).To(BeEquivalentTo(1))
	g.Expect(cl.owner()).To(BeIdenticalTo(cl.daemons[0]))
}

// Guards against a first candidate that claims the group right after its restart
// although another daemon owns it.
func TestRestartedFirstCandidateKeepsOwner(t *testing.T) {
	g, cl := newOwnedCluster(t, 2)
	cl.daemons[0].paused = true
	cl.runUntil(4*time.Second, "second owner", func() bool { return cl.owner() == cl.daemons[1] })
	cl.restart(0)
	for range 50 {
		cl.step()
	}
	cl.runFor(3 * time.Second)
	g.Expect(cl.owner()).To(BeIdenticalTo(cl.daemons[1]))
	g.Expect(cl.daemons[1].state.Term).To(BeEquivalentTo(2))
}

// Guards against an owner that cannot reach the endpoints and still announces itself,
// which would keep candidates from replacing it.
func TestOwnerWithoutLeaseStopsHeartbeats(t *testing.T) {
	g, cl := newOwnedCluster(t, 2)
	n := cl.daemons[0]
	g.Expect(n.ShouldAnnounce(cl.local(n))).To(BeTrue())
	cl.delivery = func() delivery { return delivery{requestLost: true} }
	for range 120 {
		cl.step()
	}
	g.Expect(n.ShouldAnnounce(cl.local(n))).To(BeFalse())
	g.Expect(n.OwnerAlive(cl.local(n))).To(BeFalse())
}

// Guards against an owner that replaces the primary because its own calls timed out
// while it stalled.
func TestStalledOwnerKeepsPrimary(t *testing.T) {
	g, cl := newOwnedCluster(t, 1)
	n := cl.daemons[0]
	cl.delivery = func() delivery { return delivery{answerLost: true} }
	cl.deliver(n, claim.TrafficError{Address: n.state.Primary})
	n.paused = true
	cl.runFor(claim.CallTimeout + 2*claim.StallThreshold)
	cl.delivery = promptDelivery
	cl.resume(n)
	g.Expect(n.state.Endpoints[n.state.Primary].Reachable).To(BeTrue())
	cl.runFor(claim.PrimaryTimeout / 2)
	g.Expect(n.state.Term).To(BeEquivalentTo(1))
	g.Expect(cl.notes[claim.NoteStalled]).To(Equal(1))
	g.Expect(n.state.Owned).To(BeTrue())
}

// Guards against an endpoint that is kept as the primary although it has lost that role
// in a restart.
func TestDemotedPrimaryIsReplaced(t *testing.T) {
	g, cl := newOwnedCluster(t, 1)
	cl.server(cl.daemons[0].state.Primary).Role = claim.RoleFenced
	cl.runFor(300 * time.Millisecond)
	g.Expect(cl.daemons[0].state.Term).To(BeEquivalentTo(2))
	g.Expect(cl.daemons[0].state.Owned).To(BeTrue())
}

// Guards against a needless failover when only the owner died, even if the primary
// answers last.
func TestNewOwnerKeepsPrimary(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(1, 3, t.Fatalf)
	for _, s := range cl.servers {
		s.Status = claim.Status{Term: 5, Holder: "x", AppointedTerm: 5, Primary: "db2"}
		s.log = []entry{{5, 1}}
		s.Received = s.end()
	}
	cl.servers[2].Role = claim.RolePrimary
	call := 0
	cl.delivery = func() delivery {
		call++
		if call%3 == 0 {
			return delivery{answerDelay: 30 * time.Millisecond}
		}
		return promptDelivery()
	}
	cl.runUntil(3*time.Second, "owner", func() bool { return cl.owner() != nil })
	g.Expect(cl.daemons[0].state.Primary).To(Equal("db2"))
	g.Expect(cl.daemons[0].state.Term).To(BeEquivalentTo(6))
}

// Guards against the choice of a longer log of an old term instead of what a majority
// received in a newer term.
func TestNewerTermIsPreferredToLongerLog(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(1, 3, t.Fatalf)
	logs := [][]entry{{{5, 1}, {5, 2}, {5, 3}}, {{5, 1}, {6, 4}}, {{5, 1}, {6, 4}}}
	for i, s := range cl.servers {
		s.Status = claim.Status{Term: 6, Holder: "x", Primary: "db2", AppointedTerm: 6}
		s.log = logs[i]
		s.Received = s.end()
	}
	cl.servers[2].down = true
	cl.runUntil(3*time.Second, "owner", func() bool { return cl.owner() != nil })
	g.Expect(cl.daemons[0].state.Primary).To(Equal("db1"))
}

// Guards against heartbeats of a replaced owner that make it the known owner again.
func TestHeartbeatOfReplacedOwnerIsIgnored(t *testing.T) {
	g, cl := newOwnedCluster(t, 2)
	n := cl.daemons[1]
	successor := claim.Owner{Address: "d7", Incarnation: 7, Term: 4}
	cl.deliver(n, claim.HeartbeatReceived{Owner: successor})
	cl.deliver(n, claim.HeartbeatReceived{Owner: claim.Owner{Address: "d0", Incarnation: 1, Term: 3}})
	g.Expect(n.state.Owner).To(Equal(successor))
}

// Guards against a late answer that overwrites a newer status of its endpoint.
func TestLateStatusIsIgnored(t *testing.T) {
	g, cl := newOwnedCluster(t, 1)
	n := cl.daemons[0]
	late := claim.Answer{Call: claim.Call{ID: 1, Address: "db1"}, Started: cl.local(n)}
	late.Status.Received = logpos.Position{Term: 1}
	before := n.state.Endpoints["db1"]
	cl.deliver(n, late)
	g.Expect(n.state.Endpoints["db1"]).To(Equal(before))
}

// Guards against claimants that block each other's claims again and again: the waits
// after lost claims must grow and differ between daemons.
func TestBackOffGrowsWithJitter(t *testing.T) {
	g := NewWithT(t)
	waits := func(seed int) (waits []time.Duration) {
		cl := newCluster(1, 3, t.Fatalf)
		cl.nextID = seed
		cl.restart(0)
		for _, s := range cl.servers {
			s.rejectsPromotion = true
		}
		last := cl.now
		for lost := 0; len(waits) < 5; cl.step() {
			if cl.notes[claim.NoteClaimLost] > lost {
				lost++
				waits = append(waits, cl.now-last)
				last = cl.now
			}
		}
		return waits[1:]
	}
	a, b := waits(10), waits(20)
	g.Expect(a[0]).To(BeNumerically(">=", claim.HeartbeatTimeout+claim.MinBackoff/2))
	g.Expect(a[3]).To(BeNumerically(">", a[0]+claim.MinBackoff))
	g.Expect(a).NotTo(Equal(b))
}

// Guards against a group without an owner after two claimants have each won some of the
// endpoints in the same term.
func TestSplitTermEndsWithOneOwner(t *testing.T) {
	g := NewWithT(t)
	cl := newCluster(2, 4, t.Fatalf)
	cl.runFor(time.Second)
	cl.restart(0)
	// Each daemon calls the four endpoints, the first daemon with the calls 1 to 4. The
	// requests 3 to 6 are late, so that each daemon wins two endpoints.
	call := 0
	cl.delivery = func() delivery {
		call++
		if prompt := call <= 2 || call >= 7; prompt {
			return promptDelivery()
		}
		return delivery{requestDelay: 20 * time.Millisecond, answerDelay: time.Millisecond}
	}
	for _, n := range cl.daemons {
		cl.deliver(n, claim.HandoverOffered{Term: 1})
	}
	cl.runFor(100 * time.Millisecond)
	g.Expect(cl.notes[claim.NoteClaimLost]).To(Equal(2))
	cl.runUntil(5*time.Second, "owner", func() bool { return cl.owner() != nil })
	g.Expect(cl.notes[claim.NoteClaimStarted]).To(BeNumerically("<=", 5))
}
