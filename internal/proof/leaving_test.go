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

// leavingBound is the time after which a leaving endpoint gets no new work.
const leavingBound = 3 * time.Second

// markLeaving applies a manifest in which one endpoint is leaving.
func (r *run) markLeaving(address string) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	accepted, err := r.d.Store().Load(ctx)
	r.g.Expect(err).NotTo(HaveOccurred())
	next := *accepted.Document
	next.Pools = append([]manifest.Pool(nil), next.Pools...)
	eps := append([]manifest.Endpoint(nil), next.Pools[0].Endpoints...)
	for i := range eps {
		eps[i].Leaving = eps[i].Address == address
	}
	next.Pools[0].Endpoints = eps
	_, err = r.d.Store().Apply(ctx, &next, accepted.Item.Generation, "proof")
	r.g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a leaving endpoint that still gets work after the bound, and
// against requests that fail while a leaving primary is switched over. Each
// endpoint leaves in turn, so that both a primary and replicas do.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 3})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for _, ep := range r.d.Groups[poolName].Servers {
		r.markLeaving(ep.Address())
		time.Sleep(leavingBound)
		before := ep.Statements()
		time.Sleep(time.Second)
		r.g.Expect(ep.Statements()-before).To(BeZero(), "statements after the bound on %s", ep.Address())
		// Without a switchover, bookings would only wait until the endpoint is back.
		r.confirmedAfter(time.Now())
	}
	r.check()
	sum := history.Summarize(r.rec.Ops())
	r.g.Expect(sum.NotRun + sum.Unknown).To(BeZero())
}

// Guards against the same when the leaving primary is cut off in the middle of
// the switchover.
func TestLeavingPrimaryCutOff(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 3})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	primary := r.d.Primary(poolName)
	r.markLeaving(primary.Address())
	cut := time.Now()
	primary.SetFaults(func(f *database.Faults) { f.Cut = true })
	t.Logf("confirmed again %s after the cut", r.confirmedAfter(cut))
	primary.SetFaults(func(f *database.Faults) { f.Cut = false })
	time.Sleep(leavingBound)
	before := primary.Statements()
	time.Sleep(time.Second)
	r.g.Expect(primary.Statements() - before).To(BeZero())
	r.check()
}

// Guards against requests that are cut off when hosts stop gracefully: every
// host is drained and started again in turn, twice, under load.
func TestGracefulShutdownCutsOffNothing(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(300 * time.Millisecond)
	for range 2 {
		for _, h := range r.d.Hosts {
			r.g.Expect(h.Drain(10 * time.Second)).To(Succeed())
			r.g.Expect(h.Start()).To(Succeed())
			time.Sleep(300 * time.Millisecond)
		}
	}
	r.check()
	sum := history.Summarize(r.rec.Ops())
	r.g.Expect(sum.Unknown).To(BeZero(), "a request in flight was cut off")
	t.Logf("gap %s", history.Gap(r.rec.Ops(), time.Time{}))
}

// Guards against a leaving endpoint that gets work again from a new owner, when
// the owner is killed as the endpoint leaves; twice in a row.
func TestLeavingEndpointOwnerKilledTwice(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	for range 2 {
		primary, owner := r.d.Primary(poolName), r.d.Owner(poolName)
		r.markLeaving(primary.Address())
		owner.Kill()
		time.Sleep(leavingBound)
		before := primary.Statements()
		time.Sleep(time.Second)
		r.g.Expect(primary.Statements()-before).To(BeZero(), "statements after the bound on %s", primary.Address())
		r.g.Expect(owner.Start()).To(Succeed())
		r.confirmedAfter(time.Now())
	}
	r.check()
}

// Guards against a shutdown that needs the store: hosts are drained and started
// again while it is down and replicas are behind.
func TestGracefulShutdownWhileStoreIsDown(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	for _, s := range r.d.Groups[poolName].Servers {
		s.SetFaults(func(f *database.Faults) { f.ApplyLag = 200 * time.Millisecond })
	}
	r.startSessions(false)
	time.Sleep(300 * time.Millisecond)
	r.d.Platform.SetFaults(platform.Faults{Outage: true, HostListOutage: true})
	for _, h := range r.d.Hosts {
		r.g.Expect(h.Drain(10 * time.Second)).To(Succeed())
		r.g.Expect(h.Start()).To(Succeed())
		time.Sleep(300 * time.Millisecond)
	}
	r.d.Platform.SetFaults(platform.Faults{})
	r.check()
	sum := history.Summarize(r.rec.Ops())
	r.g.Expect(sum.Unknown).To(BeZero(), "a request in flight was cut off")
}
