package gateway

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// Guards against a host that takes over a claim as stalled although its holder has just
// written it again and ordered a promotion: two endpoints then became primary one after the
// other, and writes were confirmed at the first (shahzad-hq trouble-3).
func TestRenewedClaimIsNotTakenOverAsStalled(t *testing.T) {
	g := NewWithT(t)
	c := newController(New(Config{Host: "h1"}))
	f := &failover{controller: c, reason: succession.ReasonStalled, term: 1, fenceVersion: 35}
	held := claimRecord{Holder: "h2", Term: 1}
	g.Expect(f.checkClaim(held, 35)).To(Succeed())
	g.Expect(f.checkClaim(held, 45)).To(MatchError(errClaimLost))
	g.Expect(f.checkClaim(claimRecord{Holder: "h2", Term: 1, Withdrawn: true}, 45)).To(Succeed())
	g.Expect(f.checkClaim(claimRecord{Holder: "h1", Term: 1}, 45)).To(Succeed())
	g.Expect(f.checkClaim(claimRecord{Holder: "h2", Term: 2}, 45)).To(MatchError(errNewerTerm))
	g.Expect(f.checkClaim(claimRecord{}, 0)).To(Succeed())
	f.reason = succession.ReasonUnreachable
	g.Expect(f.checkClaim(held, 35)).To(MatchError(errClaimLost))
	g.Expect(f.checkClaim(claimRecord{Holder: "h2"}, 35)).To(Succeed(), "the claim is for an earlier term")
}

// Guards against a host that takes over a claim at once because it has held the one before: it
// and the present holder then had two endpoints promoted one after the other, both in use
// (issue 31, STALE; found on the bench with claim-holder-wakes).
func TestFormerHolderDoesNotHoldNewerClaim(t *testing.T) {
	g := NewWithT(t)
	c := newController(New(Config{Host: "h1"}))
	gr := newGroup("g", c.gw.pool)
	m := newGroupMonitor()
	gr.term = 1
	m.claim, m.claimVersion = claimRecord{Holder: "h1", Incarnation: c.incarnation, Term: 1}, 5
	gr.setFence(m.claim.fenceState(5), boottime.Now())
	g.Expect(c.successionView(boottime.Now(), gr, m).HoldsClaim).To(BeTrue())
	gr.setFence(FenceState{Term: 1, Version: 6}, boottime.Now())
	g.Expect(c.successionView(boottime.Now(), gr, m).HoldsClaim).To(BeFalse())
}
