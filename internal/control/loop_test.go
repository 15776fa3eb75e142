package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against a new group that waits for the lease of a previous owner,
// although it never had one.
func TestFirstOwnerConfirmsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5, nil)
		owner, took := c.waitOwner(nil, time.Second)
		t.Logf("owned after %v", took)
		g.Expect(took).To(BeNumerically("<", 300*time.Millisecond))
		v := owner.View().Group(pool)
		g.Expect(v.Candidates[0]).To(Equal(owner.address))
		g.Expect(v.ConfirmAfter.After(time.Now())).To(BeFalse())
	})
}

// Guards against a group that stays without an owner after its owner has stopped.
func TestNextCandidateReplacesDeadOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 5, nil)
		old, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		old.cancel()
		c.setIsolated(old, true)
		owner, took := c.waitOwner(old, 4*time.Second)
		t.Logf("owned after %v", took)
		v := owner.View().Group(pool)
		g.Expect(v.Candidates[1]).To(Equal(owner.address))
		g.Expect(v.Term).To(BeEquivalentTo(2))
		g.Expect(time.Until(v.ConfirmAfter)).To(BeNumerically(">", time.Second))
		g.Expect(took + time.Until(v.ConfirmAfter)).To(BeNumerically("<", 4*time.Second))
	})
}

// waitNewPrimary waits until the owner's View names a primary other than the given
// one. It returns the primary and the duration of the wait.
func waitNewPrimary(t *testing.T, d *daemon, other string, limit time.Duration) (string, time.Duration) {
	t.Helper()
	start := time.Now()
	for time.Since(start) <= limit {
		v := d.View().Group(pool)
		if v.LeaseValid(time.Now()) && v.Primary != other && !v.InTransition {
			return v.Primary, time.Since(start)
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("no primary other than %q within %v", other, limit)
	return "", 0
}

// Guards against a slow replacement of the primary while the owner is running,
// and against an owner that waits for the end of its own previous lease.
func TestOwnerReplacesDeadPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 4, nil)
		owner, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		before := owner.View().Group(pool)
		last, _ := c.endpoints.write(before.Primary)
		time.Sleep(300 * time.Millisecond)
		c.endpoints.change(before.Primary, func(e *fakeEndpoint) { e.down = true })

		primary, took := waitNewPrimary(t, owner, before.Primary, 1500*time.Millisecond)
		t.Logf("new primary after %v", took)
		v := owner.View().Group(pool)
		g.Expect(v.Term).To(Equal(before.Term + 1))
		g.Expect(v.ConfirmAfter.After(time.Now())).To(BeFalse())
		g.Expect(v.PromotionPoint).To(Equal(last))
		g.Expect(v.Marker.Term).To(Equal(v.Term))

		// The former primary comes back and follows the new one.
		c.endpoints.change(before.Primary, func(e *fakeEndpoint) { e.down = false })
		time.Sleep(time.Second)
		s := owner.View().Group(pool).Endpoints[before.Primary]
		g.Expect(s.Primary).To(Equal(primary))
		g.Expect(owner.View().Group(pool).Term).To(Equal(v.Term))
	})
}

// Guards against traffic errors that do not speed up the detection of a failed
// primary, and against a traffic error that replaces a primary which still
// answers.
func TestTrafficErrorSpeedsUpDetection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 4, nil)
		owner, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		before := owner.View().Group(pool)
		owner.ReportEndpointError(pool, before.Primary)
		time.Sleep(time.Second)
		g.Expect(owner.View().Group(pool).Term).To(Equal(before.Term))

		c.endpoints.change(before.Primary, func(e *fakeEndpoint) { e.down = true })
		owner.ReportEndpointError(pool, before.Primary)
		_, took := waitNewPrimary(t, owner, before.Primary, time.Second)
		t.Logf("new primary after %v", took)
		g.Expect(took).To(BeNumerically("<", 400*time.Millisecond))
	})
}

// Guards against a paused owner that continues to serve after it was replaced, or
// that claims the group because it received no heartbeats during the pause.
func TestPausedOwnerStepsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 4, nil)
		old, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		control.Pause(old.Loop, 5*time.Second)
		owner, _ := c.waitOwner(old, 4*time.Second)
		term := owner.View().Group(pool).Term
		time.Sleep(10 * time.Second)
		v := old.View().Group(pool)
		g.Expect(v.Owned).To(BeFalse())
		g.Expect(v.OwnerAddress).To(Equal(owner.address))
		g.Expect(owner.View().Group(pool).Term).To(Equal(term))
		g.Expect(old.metrics.Count(metrics.StepDowns)).To(BeEquivalentTo(1))
		g.Expect(old.metrics.Count(metrics.ControlStalls)).To(BeNumerically(">", 0))
	})
}

// Guards against a candidate that replaces a running owner because its own pause
// made it miss heartbeats.
func TestPausedCandidateDoesNotClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 4, nil)
		owner, _ := c.waitOwner(nil, time.Second)
		for _, d := range c.daemons {
			if d != owner {
				control.Pause(d.Loop, 3*time.Second)
			}
		}
		time.Sleep(10 * time.Second)
		g.Expect(c.owner()).To(Equal(owner))
		g.Expect(owner.View().Group(pool).Term).To(BeEquivalentTo(1))
	})
}

// Guards against lost or failed writes when a leaving primary is replaced before
// its requests have ended and its log was received.
func TestLeavingPrimaryIsReplacedAfterDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var c *cluster
		var last logpos.Position
		drain := func(context.Context, string) {
			time.Sleep(300 * time.Millisecond)
			last, _ = c.endpoints.write(c.owner().View().Group(pool).Primary)
		}
		c = newCluster(t, 4, drain)
		owner, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		before := owner.View().Group(pool)

		doc := c.document
		doc.Pools = []manifest.Pool{{Name: pool}}
		for _, e := range c.document.Pools[0].Endpoints {
			e.Leaving = e.Address == before.Primary
			doc.Pools[0].Endpoints = append(doc.Pools[0].Endpoints, e)
		}
		owner.SetManifest(2, &doc)
		_, took := waitNewPrimary(t, owner, before.Primary, 2*time.Second)
		t.Logf("switched over after %v", took)
		v := owner.View().Group(pool)
		g.Expect(v.Term).To(Equal(before.Term + 1))
		g.Expect(v.PromotionPoint).To(Equal(last))
		g.Expect(last.IsZero()).To(BeFalse())
		g.Expect(v.ConfirmAfter.After(time.Now())).To(BeFalse())
	})
}

// Guards against a leaving daemon that interrupts requests, and against a
// successor that waits for the old lease although its owner has ended it.
func TestLeaveHandsOverGroups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		drained := false
		c := newCluster(t, 4, func(context.Context, string) {
			time.Sleep(500 * time.Millisecond)
			drained = true
		})
		old, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		g.Expect(old.Leave(ctx)).To(Succeed())
		g.Expect(drained).To(BeTrue())
		g.Expect(old.View().Group(pool).Owned).To(BeFalse())

		owner, took := c.waitOwner(old, time.Second)
		t.Logf("owned by the successor %v after the handover", took)
		g.Expect(took).To(BeNumerically("<", 200*time.Millisecond))
		v := owner.View().Group(pool)
		g.Expect(v.ConfirmAfter.After(time.Now())).To(BeFalse())
		g.Expect(v.Candidates).NotTo(ContainElement(old.address))
	})
}

// Guards against repeated claims when an owner loses contact with its peers: the
// candidates replace it once, and ownership stays when contact returns.
func TestIsolatedOwnerIsReplacedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		c := newCluster(t, 4, nil)
		old, _ := c.waitOwner(nil, time.Second)
		time.Sleep(2 * time.Second)
		c.setIsolated(old, true)
		time.Sleep(2 * time.Second)
		owner := c.owner()
		g.Expect(owner).NotTo(Equal(old))
		c.setIsolated(old, false)
		time.Sleep(10 * time.Second)
		g.Expect(c.owner()).To(Equal(owner))
	})
}
