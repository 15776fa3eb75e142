package gateway_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// rolePromoter records whether e1 is still a primary when another endpoint is promoted.
type rolePromoter struct {
	*fakeGroup
	e1Leads chan bool
}

// Promote implements gateway.Promoter.
func (p rolePromoter) Promote(ctx context.Context, order gateway.Promotion) error {
	p.mu.Lock()
	leads := p.endpoints["e1"].primary
	p.mu.Unlock()
	p.e1Leads <- leads
	return p.fakeGroup.Promote(ctx, order)
}

// startWithRolePromoter starts three hosts. The channel gets whether e1 is still a primary at each
// order of a promotion.
func startWithRolePromoter(t *testing.T, f *fakeFleet) <-chan bool {
	t.Helper()
	e1Leads := make(chan bool, 8)
	f.configure = func(cfg *gateway.Config) { cfg.Promoter = rolePromoter{f.group, e1Leads} }
	f.startAll(t, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	return e1Leads
}

// expectDemotedWhenDrained drains e1 and expects that it is no primary any more when its successor
// is promoted.
func expectDemotedWhenDrained(t *testing.T, f *fakeFleet, e1Leads <-chan bool) {
	t.Helper()
	g := NewWithT(t)
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.Draining = true })
	var leads bool
	g.Eventually(e1Leads, 6*time.Second).Should(Receive(&leads))
	g.Expect(leads).To(BeFalse())
}

// Guards against a replaced primary that still commits writes which are on their way, because only
// the host that replaces it is cut off from it and other hosts are not asked to demote it
// (issue 39).
func TestPrimaryIsDemotedThroughAnotherHost(t *testing.T) {
	t.Parallel()
	f := newFleet(manyConnections)
	e1Leads := startWithRolePromoter(t, f)
	// Only h1 can write the claim. The primary answers the other hosts all the time.
	f.store.setUnavailable("h2", true)
	f.store.setUnavailable("h3", true)
	ended := make(chan struct{})
	defer close(ended)
	for _, host := range []string{"h2", "h3"} {
		caller := f.caller(host, "strict")
		go func() {
			for {
				select {
				case <-ended:
					return
				case <-time.After(5 * time.Millisecond):
					caller.do(read("a"))
				}
			}
		}()
	}
	f.store.onClaim(func() { f.group.setCut("h1", "e1", true) })
	expectDemotedWhenDrained(t, f, e1Leads)
}

// Guards against a replaced primary that goes on committing what waits for its slots, because it
// has no room for the demotion at that moment and is not asked again (seen on the bench: 9 commits
// were rolled back).
func TestFullPrimaryIsAskedAgainToBecomeReplica(t *testing.T) {
	t.Parallel()
	f := newFleet(manyConnections)
	e1Leads := startWithRolePromoter(t, f)
	setFull := func(full bool) {
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		f.group.endpoints["e1"].busyForStatus = full
	}
	f.store.onClaim(func() {
		setFull(true)
		time.AfterFunc(80*time.Millisecond, func() { setFull(false) })
	})
	expectDemotedWhenDrained(t, f, e1Leads)
}
