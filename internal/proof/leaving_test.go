package proof_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

// leavingTimeout is the time after which a leaving endpoint must get no new statements.
const leavingTimeout = 3 * time.Second

// markLeaving applies a manifest in which only the given endpoint is leaving.
func (r *testRun) markLeaving(address string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	accepted, err := r.deployment.ManifestStore().Load(ctx)
	r.g.Expect(err).NotTo(HaveOccurred())
	next := *accepted.Document
	next.Pools = append([]manifest.Pool(nil), next.Pools...)
	eps := append([]manifest.Endpoint(nil), next.Pools[0].Endpoints...)
	for i := range eps {
		eps[i].Leaving = eps[i].Address == address
	}
	next.Pools[0].Endpoints = eps
	_, err = r.deployment.ManifestStore().Apply(ctx, &next, accepted.Record.Generation, "proof")
	r.g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a leaving endpoint that still gets statements after leavingTimeout, and
// against requests that fail while a leaving primary is replaced. Each endpoint leaves
// in turn, so that the primary and replicas are covered.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 3})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for _, ep := range r.deployment.Groups[poolName].Servers {
		r.markLeaving(ep.Address())
		time.Sleep(leavingTimeout)
		before := ep.Statements()
		time.Sleep(time.Second)
		r.g.Expect(ep.Statements()-before).To(BeZero(), "%s got statements after leavingTimeout", ep.Address())
		// If a leaving primary were not replaced, bookings would not fail but wait.
		r.awaitConfirmedAfter(time.Now())
	}
	r.checkGuarantees()
	summary := history.Summarize(r.recorder.Ops())
	r.g.Expect(summary.NotRun + summary.Unknown).To(BeZero())
}

// Guards against a leaving primary that still gets statements after leavingTimeout when
// it is cut off while it is being replaced.
func TestLeavingPrimaryCutOff(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 3})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	primary := r.deployment.Primary(poolName)
	r.markLeaving(primary.Address())
	cut := time.Now()
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	t.Logf("confirmed again %s after the cut", r.awaitConfirmedAfter(cut))
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	time.Sleep(leavingTimeout)
	before := primary.Statements()
	time.Sleep(time.Second)
	r.g.Expect(primary.Statements() - before).To(BeZero())
	r.checkGuarantees()
}

// Guards against requests that are aborted when hosts stop gracefully: each host is
// drained and started again in turn, twice, under load.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(300 * time.Millisecond)
	for range 2 {
		for _, h := range r.deployment.Hosts {
			r.g.Expect(h.Drain(10 * time.Second)).To(Succeed())
			r.g.Expect(h.Start()).To(Succeed())
			time.Sleep(300 * time.Millisecond)
		}
	}
	r.checkGuarantees()
	summary := history.Summarize(r.recorder.Ops())
	r.g.Expect(summary.Unknown).To(BeZero(), "a request in flight was cut off")
	t.Logf("gap %s", history.LongestGap(r.recorder.Ops(), time.Time{}))
}

// Guards against a new owner that sends statements to a leaving endpoint, after the old
// owner was killed while the endpoint left, twice in a row.
func TestLeavingEndpointOwnerKilledTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		primary, owner := r.deployment.Primary(poolName), r.deployment.Owner(poolName)
		r.markLeaving(primary.Address())
		owner.Kill()
		time.Sleep(leavingTimeout)
		before := primary.Statements()
		time.Sleep(time.Second)
		r.g.Expect(primary.Statements()-before).To(BeZero(), "%s got statements after leavingTimeout", primary.Address())
		r.g.Expect(owner.Start()).To(Succeed())
		r.awaitConfirmedAfter(time.Now())
	}
	r.checkGuarantees()
}

// Guards against a graceful shutdown that needs the store: hosts are drained and started
// again while the store is down and replicas lag behind.
func TestGracefulShutdownWhileStoreIsDown(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	for _, s := range r.deployment.Groups[poolName].Servers {
		s.SetFaults(func(f *database.Faults) { f.ApplyLag = 200 * time.Millisecond })
	}
	r.startSessions(false)
	time.Sleep(300 * time.Millisecond)
	r.deployment.Platform.SetFaults(platform.Faults{Outage: true, HostListOutage: true})
	for _, h := range r.deployment.Hosts {
		r.g.Expect(h.Drain(10 * time.Second)).To(Succeed())
		r.g.Expect(h.Start()).To(Succeed())
		time.Sleep(300 * time.Millisecond)
	}
	r.deployment.Platform.SetFaults(platform.Faults{})
	r.checkGuarantees()
	summary := history.Summarize(r.recorder.Ops())
	r.g.Expect(summary.Unknown).To(BeZero(), "a request in flight was cut off")
}
