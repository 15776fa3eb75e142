package claim_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	"github.com/beryltrestle/beryltrestle/coord/lease"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// owned returns a world in which the first node owns the group in term 1.
func owned(t *testing.T, nodes int) (*WithT, *world) {
	g := NewWithT(t)
	w := newWorld(nodes, 3, t.Fatalf)
	w.runFor(time.Second)
	g.Expect(w.owner()).To(BeIdenticalTo(w.nodes[0]))
	return g, w
}

// until steps until the condition holds, at most for the given time.
func (w *world) until(limit time.Duration, what string, done func() bool) {
	for end := w.now + limit; !done(); {
		if w.now >= end {
			w.fail("not within %v: %s", limit, what)
		}
		w.runFor(stepTime)
	}
}

// Guards against a lease that counts from the arrival of an answer: the
// endpoint may have granted a higher term since it answered.
func TestLeaseCountsFromTheCall(t *testing.T) {
	g, w := owned(t, 1)
	w.fate = func() fate { return fate{answer: 150 * time.Millisecond} }
	w.runFor(time.Second)
	for range 100 {
		w.runFor(stepTime)
		g.Expect(w.local(w.nodes[0]).Sub(w.nodes[0].state.LeaseStart)).To(BeNumerically(">=", 140*time.Millisecond))
	}
}

// Guards against an owner that takes its group back from another one and
// confirms while the other's lease may hold.
func TestReclaimAfterForeignTermWaits(t *testing.T) {
	g, w := owned(t, 2)
	a, b := w.nodes[0], w.nodes[1]
	a.paused = true
	w.until(4*time.Second, "second owner", func() bool { return w.owner() == b })
	g.Expect(b.state.ConfirmAfter.Sub(w.local(b))).To(BeNumerically(">", lease.Duration))
	w.resume(a)
	w.runFor(time.Second)
	b.paused = true
	w.until(6*time.Second, "third owner", func() bool { return w.owner() == a })
	g.Expect(a.state.Term).To(BeEquivalentTo(3))
	g.Expect(a.state.ConfirmAfter.Sub(w.local(a))).To(BeNumerically(">", lease.Duration))
}

// Guards against a successor that doesn't wait although the leaving owner was
// still waiting for the lease of its predecessor.
func TestHandoverWaitsForEarlierLease(t *testing.T) {
	g, w := owned(t, 3)
	w.nodes[0].paused = true
	b := w.nodes[1]
	w.until(4*time.Second, "second owner", func() bool { return w.owner() == b })
	end := b.state.ConfirmAfter
	w.deliver(b, claim.Leave{})
	w.until(4*time.Second, "successor", func() bool { return w.owner() == w.nodes[2] })
	g.Expect(w.nodes[2].state.Term).To(BeEquivalentTo(3))
	g.Expect(w.local(w.nodes[2])).To(BeTemporally(">=", end))
}

// Guards against reads that miss what an earlier owner confirmed: until the
// marker is received, the log up to it may still be lost. Guards as well against
// candidates that replace one another while replicas are far behind.
func TestOwnedOnlyOnceMarkerIsReceived(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 3, t.Fatalf)
	for i := range 1000 {
		w.step()
		if i%20 == 0 {
			w.heartbeat(w.nodes[0])
		}
	}
	g.Expect(w.nodes[0].state.Term).To(BeEquivalentTo(1))
	g.Expect(w.nodes[0].state.Phase).To(Equal(claim.PhaseAwaitingMarker))
	g.Expect(w.nodes[0].state.Owned).To(BeFalse())
	w.runFor(claim.PollInterval + 2*stepTime)
	g.Expect(w.nodes[0].state.Owned).To(BeTrue())
}

// Guards against a candidate that replaces an owner which others hear.
func TestPreVoteKeepsLivingOwner(t *testing.T) {
	g, w := owned(t, 3)
	for range 500 {
		w.step()
		w.deliver(w.nodes[2], claim.HeartbeatReceived{Owner: w.nodes[0].state.Owner})
	}
	g.Expect(w.nodes[0].state.Term).To(BeEquivalentTo(1))
	g.Expect(w.owner()).To(BeIdenticalTo(w.nodes[0]))
}

// Guards against a first candidate that claims right after its restart although
// another daemon owns the group.
func TestRestartedFirstCandidateLetsOwnerBeHeard(t *testing.T) {
	g, w := owned(t, 2)
	w.nodes[0].paused = true
	w.until(4*time.Second, "second owner", func() bool { return w.owner() == w.nodes[1] })
	w.restart(0)
	for range 50 {
		w.step()
	}
	w.runFor(3 * time.Second)
	g.Expect(w.owner()).To(BeIdenticalTo(w.nodes[1]))
	g.Expect(w.nodes[1].state.Term).To(BeEquivalentTo(2))
}

// Guards against an owner that can't reach the endpoints but keeps candidates
// from replacing it.
func TestOwnerWithoutLeaseStopsHeartbeats(t *testing.T) {
	g, w := owned(t, 2)
	n := w.nodes[0]
	g.Expect(n.ShouldAnnounce(w.local(n))).To(BeTrue())
	w.fate = func() fate { return fate{requestLost: true} }
	for range 120 {
		w.step()
	}
	g.Expect(n.ShouldAnnounce(w.local(n))).To(BeFalse())
	g.Expect(n.OwnerAlive(w.local(n))).To(BeFalse())
}

// Guards against a stalled owner that replaces a primary because its own calls
// ran into their timeouts during the stall.
func TestFailuresDuringStallReplaceNoPrimary(t *testing.T) {
	g, w := owned(t, 1)
	n := w.nodes[0]
	w.fate = func() fate { return fate{answerLost: true} }
	w.deliver(n, claim.TrafficError{Address: n.state.Primary})
	n.paused = true
	w.runFor(claim.CallTimeout + 2*claim.Stall)
	w.fate = promptFate
	w.resume(n)
	g.Expect(n.state.Endpoints[n.state.Primary].Reachable).To(BeTrue())
	w.runFor(claim.PrimaryMissed / 2)
	g.Expect(n.state.Term).To(BeEquivalentTo(1))
	g.Expect(w.notes[claim.NoteStalled]).To(Equal(1))
	g.Expect(n.state.Owned).To(BeTrue())
}

// Guards against a primary that restarted as no primary and is kept.
func TestDemotedPrimaryIsReplaced(t *testing.T) {
	g, w := owned(t, 1)
	w.server(w.nodes[0].state.Primary).Role = claim.RoleFenced
	w.runFor(300 * time.Millisecond)
	g.Expect(w.nodes[0].state.Term).To(BeEquivalentTo(2))
	g.Expect(w.nodes[0].state.Owned).To(BeTrue())
}

// Guards against a needless change of primary when only the owner died, also if
// the primary answers last.
func TestNewOwnerKeepsPrimary(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 3, t.Fatalf)
	for _, s := range w.servers {
		s.Status = claim.Status{Term: 5, Holder: "x", AppointedTerm: 5, Primary: "db2"}
		s.log = []entry{{5, 1}}
		s.Received = s.end()
	}
	w.servers[2].Role = claim.RolePrimary
	call := 0
	w.fate = func() fate {
		call++
		if call%3 == 0 {
			return fate{answer: 30 * time.Millisecond}
		}
		return promptFate()
	}
	w.until(3*time.Second, "owner", func() bool { return w.owner() != nil })
	g.Expect(w.nodes[0].state.Primary).To(Equal("db2"))
	g.Expect(w.nodes[0].state.Term).To(BeEquivalentTo(6))
}

// Guards against a long log of an old term that is preferred to what a majority
// received in a newer one.
func TestLogOfNewerTermIsChosen(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(1, 3, t.Fatalf)
	logs := [][]entry{{{5, 1}, {5, 2}, {5, 3}}, {{5, 1}, {6, 4}}, {{5, 1}, {6, 4}}}
	for i, s := range w.servers {
		s.Status = claim.Status{Term: 6, Holder: "x", Primary: "db2", AppointedTerm: 6}
		s.log = logs[i]
		s.Received = s.end()
	}
	w.servers[2].down = true
	w.until(3*time.Second, "owner", func() bool { return w.owner() != nil })
	g.Expect(w.nodes[0].state.Primary).To(Equal("db1"))
}

// Guards against heartbeats of a replaced owner that hide its successor.
func TestHeartbeatOfReplacedOwnerIsIgnored(t *testing.T) {
	g, w := owned(t, 2)
	n := w.nodes[1]
	successor := claim.Owner{Address: "d7", Incarnation: 7, Term: 4}
	w.deliver(n, claim.HeartbeatReceived{Owner: successor})
	w.deliver(n, claim.HeartbeatReceived{Owner: claim.Owner{Address: "d0", Incarnation: 1, Term: 3}})
	g.Expect(n.state.Owner).To(Equal(successor))
}

// Guards against a late answer that hides a newer status of its endpoint.
func TestLateStatusIsIgnored(t *testing.T) {
	g, w := owned(t, 1)
	n := w.nodes[0]
	late := claim.Answer{Call: claim.Call{ID: 1, Address: "db1"}, Started: w.local(n)}
	late.Status.Received = logpos.Position{Term: 1}
	before := n.state.Endpoints["db1"]
	w.deliver(n, late)
	g.Expect(n.state.Endpoints["db1"]).To(Equal(before))
}

// Guards against claimants that block each other's term again and again: the
// waits after lost claims grow and differ between daemons.
func TestBackOffGrowsWithJitter(t *testing.T) {
	g := NewWithT(t)
	waits := func(seed int) (waits []time.Duration) {
		w := newWorld(1, 3, t.Fatalf)
		w.nextID = seed
		w.restart(0)
		for _, s := range w.servers {
			s.refuses = true
		}
		last := w.now
		for lost := 0; len(waits) < 5; w.step() {
			if w.notes[claim.NoteClaimLost] > lost {
				lost++
				waits = append(waits, w.now-last)
				last = w.now
			}
		}
		return waits[1:]
	}
	a, b := waits(10), waits(20)
	g.Expect(a[0]).To(BeNumerically(">=", claim.HeartbeatTimeout+claim.BackoffMin/2))
	g.Expect(a[3]).To(BeNumerically(">", a[0]+claim.BackoffMin))
	g.Expect(a).NotTo(Equal(b))
}

// Guards against a term split between two claimants that leaves no owner.
func TestSplitTermIsSettled(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(2, 4, t.Fatalf)
	w.runFor(time.Second)
	w.restart(0)
	call := 0
	w.fate = func() fate {
		call++
		if near := call <= 2 || call >= 7; near {
			return promptFate()
		}
		return fate{request: 20 * time.Millisecond, answer: time.Millisecond}
	}
	for _, n := range w.nodes {
		w.deliver(n, claim.HandoverOffered{Term: 1})
	}
	w.runFor(100 * time.Millisecond)
	g.Expect(w.notes[claim.NoteClaimLost]).To(Equal(2))
	w.until(5*time.Second, "owner", func() bool { return w.owner() != nil })
	g.Expect(w.notes[claim.NoteClaimStarted]).To(BeNumerically("<=", 5))
}
