package proof_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
	"github.com/beryltrestle/beryltrestle/internal/standin/platform"
)

// inForceTimeout is the time within which an accepted manifest must be in force on
// every daemon.
const inForceTimeout = 5 * time.Second

// generationWatcher samples the manifest generation that each host has in force, and
// records decreases.
type generationWatcher struct {
	r *testRun
	// mu is held while a host is killed or started.
	mu sync.Mutex
	// highest is the highest generation that each host had in force.
	highest   map[string]uint64
	decreases []string
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

func watchGenerations(r *testRun) *generationWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &generationWatcher{r: r, highest: make(map[string]uint64), cancel: cancel}
	w.done.Go(func() {
		for ctx.Err() == nil {
			w.sample()
			time.Sleep(time.Millisecond)
		}
	})
	r.t.Cleanup(w.stop)
	return w
}

func (w *generationWatcher) stop() {
	w.cancel()
	w.done.Wait()
}

// sample records hosts whose generation is below one that they had in force before,
// even if they were restarted since. A daemon that has just started has no generation.
func (w *generationWatcher) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.r.deployment.Hosts {
		n := generationOf(h)
		if n > 0 && n < w.highest[h.Name] {
			w.decreases = append(w.decreases, fmt.Sprintf("%s went from %d to %d", h.Name, w.highest[h.Name], n))
		}
		w.highest[h.Name] = max(w.highest[h.Name], n)
	}
}

func generationOf(h *localdeploy.Host) uint64 {
	if !h.Running() || h.Daemon().View() == nil {
		return 0
	}
	return h.Daemon().View().Generation
}

func (w *generationWatcher) restart(h *localdeploy.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Kill()
	w.r.g.Expect(h.Start()).To(Succeed())
}

// awaitInForce waits until every daemon has the generation in force. It fails the test
// if that takes longer than inForceTimeout from start.
func (w *generationWatcher) awaitInForce(generation uint64, start time.Time) {
	w.r.t.Helper()
	w.r.g.Eventually(func() bool { return w.r.deployment.ManifestInForce(generation) }).
		WithTimeout(inForceTimeout-time.Since(start)).WithPolling(5*time.Millisecond).
		Should(BeTrue(), "generation %d", generation)
	w.r.t.Logf("generation %d in force after %s", generation, time.Since(start))
}

// changedManifest returns a copy of the accepted manifest with another staleness limit,
// and the generation that the copy is based on.
func (r *testRun) changedManifest(stalenessMs int) (*manifest.Document, uint64) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	accepted, err := r.deployment.ManifestStore().Load(ctx)
	r.g.Expect(err).NotTo(HaveOccurred())
	next := *accepted.Document
	next.Pools = append([]manifest.Pool(nil), next.Pools...)
	next.Pools[0].Reads = append([]manifest.ReadKind(nil), next.Pools[0].Reads...)
	next.Pools[0].Reads[0].MaxStalenessMs = stalenessMs
	return &next, accepted.Record.Generation
}

func (r *testRun) applyManifest(doc *manifest.Document, base uint64, operator string) (manifeststore.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	return r.deployment.ManifestStore().Apply(ctx, doc, base, operator)
}

// Guards against an accepted manifest that does not come into force in time, and
// against daemons that return to an older one. The store's answer to an apply is lost,
// two operators apply at the same time, and hosts are killed and restarted while the
// store is down.
func TestManifestInForceAndNeverBack(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 6})
	w := watchGenerations(r)
	r.startSessions(false)
	for round := range 2 {
		staleness := 2000 + 100*round
		r.applyWithLostAnswer(w, staleness)
		r.applyConcurrently(w, staleness+1)
		r.applyAndRestartDuringOutage(w, staleness+10)
	}
	w.stop()
	r.checkGuarantees()
	r.g.Expect(w.decreases).To(BeEmpty())
}

func (r *testRun) applyWithLostAnswer(w *generationWatcher, staleness int) {
	r.t.Helper()
	doc, base := r.changedManifest(staleness)
	r.deployment.Platform.SetFaults(platform.Faults{LoseTableAnswers: 1})
	res, err := r.applyManifest(doc, base, "first")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(res.Generation).To(Equal(base + 1))
	w.awaitInForce(res.Generation, time.Now())
}

// applyConcurrently applies two different manifests based on the same generation, of
// which exactly one must be accepted.
func (r *testRun) applyConcurrently(w *generationWatcher, staleness int) {
	r.t.Helper()
	docs := make([]*manifest.Document, 2)
	errs := make([]error, 2)
	var base uint64
	for i := range docs {
		docs[i], base = r.changedManifest(staleness + i)
	}
	var wg sync.WaitGroup
	for i := range docs {
		wg.Go(func() { _, errs[i] = r.applyManifest(docs[i], base, fmt.Sprintf("operator-%d", i)) })
	}
	wg.Wait()
	accepted := time.Now()
	won, conflicts := 0, 0
	for _, err := range errs {
		var conflict *manifeststore.ConflictError
		switch {
		case err == nil:
			won++
		case errors.As(err, &conflict):
			conflicts++
		}
	}
	r.g.Expect([]int{won, conflicts}).To(Equal([]int{1, 1}), "%v", errs)
	w.awaitInForce(base+1, accepted)
}

// applyAndRestartDuringOutage starts an outage of the store as soon as one daemon has
// the new manifest in force. The other daemons must still get it. Two hosts are then
// killed and restarted during the outage and must get it again.
func (r *testRun) applyAndRestartDuringOutage(w *generationWatcher, staleness int) {
	r.t.Helper()
	doc, base := r.changedManifest(staleness)
	res, err := r.applyManifest(doc, base, "third")
	r.g.Expect(err).NotTo(HaveOccurred())
	accepted := time.Now()
	r.g.Eventually(func() int { return r.countInForce(res.Generation) }).WithTimeout(inForceTimeout).
		WithPolling(100 * time.Microsecond).Should(BeNumerically(">", 0))
	r.deployment.Platform.SetFaults(platform.Faults{Outage: true, HostListOutage: true})
	r.t.Logf("store down when %d of %d daemons had generation %d", r.countInForce(res.Generation), len(r.deployment.Hosts), res.Generation)
	w.awaitInForce(res.Generation, accepted)
	for _, h := range r.deployment.Hosts[2:4] {
		w.restart(h)
	}
	w.awaitInForce(res.Generation, time.Now())
	r.deployment.Platform.SetFaults(platform.Faults{})
}

// countInForce returns the number of hosts that have at least the generation in force.
func (r *testRun) countInForce(generation uint64) int {
	n := 0
	for _, h := range r.deployment.Hosts {
		if generationOf(h) >= generation {
			n++
		}
	}
	return n
}

// Guards against a manifest that is accepted but never comes into force because the
// store fails right after the conditional write and the answer is lost. No daemon can
// get the manifest before the store is back.
func TestManifestAcceptedAsStoreGoesDown(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	w := watchGenerations(r)
	for i := range 2 {
		doc, base := r.changedManifest(2000 + i)
		r.deployment.Platform.SetFaults(platform.Faults{LoseTableAnswers: 1, OutageAfterLoss: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := r.deployment.ManifestStore().Apply(ctx, doc, base, "first")
		cancel()
		var unknown *manifeststore.UnknownOutcomeError
		r.g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		r.deployment.Platform.SetFaults(platform.Faults{})
		w.awaitInForce(base+1, time.Now())
		res, err := r.applyManifest(doc, base, "first")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(res.Unchanged).To(BeTrue())
		r.g.Expect(res.Generation).To(Equal(base + 1))
	}
	w.stop()
	r.g.Expect(w.decreases).To(BeEmpty())
}

// Guards against changes of primary or owner that need the store: the primary and the
// owner fail while the store is down, and the owner is restarted during the outage,
// twice in a row.
func TestFailoversWhileStoreIsDown(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	r.deployment.Platform.SetFaults(platform.Faults{Outage: true, HostListOutage: true})
	for range 2 {
		primary, owner := r.deployment.Primary(poolName), r.deployment.Owner(poolName)
		at := time.Now()
		primary.SetFaults(func(f *database.Faults) { f.Cut = true })
		owner.Kill()
		t.Logf("confirmed again %s after the kill", r.awaitConfirmedAfter(at))
		primary.SetFaults(func(f *database.Faults) { f.Cut = false })
		r.g.Expect(owner.Start()).To(Succeed())
		time.Sleep(settleTime)
		t.Logf("gap %s", history.LongestGap(r.recorder.Ops(), at))
	}
	r.deployment.Platform.SetFaults(platform.Faults{})
	r.checkGuarantees()
}
