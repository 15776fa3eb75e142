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

// inForceBound is the time after which an accepted manifest is in force on every
// daemon.
const inForceBound = 5 * time.Second

// generations watches the generation that each host has in force.
type generations struct {
	r *run
	// mu is held while a host is killed or started.
	mu      sync.Mutex
	highest map[string]uint64
	lower   []string
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

func watchGenerations(r *run) *generations {
	ctx, cancel := context.WithCancel(context.Background())
	w := &generations{r: r, highest: make(map[string]uint64), cancel: cancel}
	w.done.Go(func() {
		for ctx.Err() == nil {
			w.sample()
			time.Sleep(time.Millisecond)
		}
	})
	r.t.Cleanup(w.stop)
	return w
}

func (w *generations) stop() {
	w.cancel()
	w.done.Wait()
}

// sample notes a host whose generation is below one that it had in force before,
// also before a restart. A daemon that was just started has none.
func (w *generations) sample() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.r.d.Hosts {
		n := generationOf(h)
		if n > 0 && n < w.highest[h.Name] {
			w.lower = append(w.lower, fmt.Sprintf("%s went from %d to %d", h.Name, w.highest[h.Name], n))
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

func (w *generations) restart(h *localdeploy.Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Kill()
	w.r.g.Expect(h.Start()).To(Succeed())
}

// inForce waits until every daemon has the generation in force, and fails the
// test after the bound.
func (w *generations) inForce(generation uint64, from time.Time) {
	w.r.t.Helper()
	w.r.g.Eventually(func() bool { return w.r.d.InForce(generation) }).
		WithTimeout(inForceBound-time.Since(from)).WithPolling(5*time.Millisecond).
		Should(BeTrue(), "generation %d", generation)
	w.r.t.Logf("generation %d in force after %s", generation, time.Since(from))
}

// changed returns a copy of the accepted document with another staleness limit.
func (r *run) changed(stalenessMs int) (*manifest.Document, uint64) {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	accepted, err := r.d.Store().Load(ctx)
	r.g.Expect(err).NotTo(HaveOccurred())
	next := *accepted.Document
	next.Pools = append([]manifest.Pool(nil), next.Pools...)
	next.Pools[0].Reads = append([]manifest.ReadKind(nil), next.Pools[0].Reads...)
	next.Pools[0].Reads[0].MaxStalenessMs = stalenessMs
	return &next, accepted.Item.Generation
}

func (r *run) apply(doc *manifest.Document, base uint64, operator string) (manifeststore.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recovery)
	defer cancel()
	return r.d.Store().Apply(ctx, doc, base, operator)
}

// Guards against an accepted manifest that is not in force in time, or that a
// daemon goes back from: the store's answer is lost, two operators push at the
// same moment, and hosts are killed and restarted while the store is down.
func TestManifestInForceAndNeverBack(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 6})
	w := watchGenerations(r)
	r.startSessions(false)
	for round := range 2 {
		staleness := 2000 + 100*round
		r.applyWithLostAnswer(w, staleness)
		r.applyTwoAtOnce(w, staleness+1)
		r.applyAndRestartDuringOutage(w, staleness+10)
	}
	w.stop()
	r.check()
	r.g.Expect(w.lower).To(BeEmpty())
}

func (r *run) applyWithLostAnswer(w *generations, staleness int) {
	r.t.Helper()
	doc, base := r.changed(staleness)
	r.d.Platform.SetFaults(platform.Faults{LoseTableAnswers: 1})
	res, err := r.apply(doc, base, "first")
	r.g.Expect(err).NotTo(HaveOccurred())
	r.g.Expect(res.Generation).To(Equal(base + 1))
	w.inForce(res.Generation, time.Now())
}

// applyTwoAtOnce applies two different changes of the same generation.
func (r *run) applyTwoAtOnce(w *generations, staleness int) {
	r.t.Helper()
	docs := make([]*manifest.Document, 2)
	errs := make([]error, 2)
	var base uint64
	for i := range docs {
		docs[i], base = r.changed(staleness + i)
	}
	var wg sync.WaitGroup
	for i := range docs {
		wg.Go(func() { _, errs[i] = r.apply(docs[i], base, fmt.Sprintf("operator-%d", i)) })
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
	w.inForce(base+1, accepted)
}

// applyAndRestartDuringOutage stops the store as soon as one daemon has the new
// manifest, and then kills and restarts hosts that do not have it yet, or any if
// all have it.
func (r *run) applyAndRestartDuringOutage(w *generations, staleness int) {
	r.t.Helper()
	doc, base := r.changed(staleness)
	res, err := r.apply(doc, base, "third")
	r.g.Expect(err).NotTo(HaveOccurred())
	accepted := time.Now()
	r.g.Eventually(func() int { return r.having(res.Generation) }).WithTimeout(inForceBound).
		WithPolling(100 * time.Microsecond).Should(BeNumerically(">", 0))
	r.d.Platform.SetFaults(platform.Faults{Outage: true, HostListOutage: true})
	r.t.Logf("store down when %d of %d daemons had generation %d", r.having(res.Generation), len(r.d.Hosts), res.Generation)
	w.inForce(res.Generation, accepted)
	for _, h := range r.d.Hosts[2:4] {
		w.restart(h)
	}
	w.inForce(res.Generation, time.Now())
	r.d.Platform.SetFaults(platform.Faults{})
}

// having counts the hosts that have at least the generation in force.
func (r *run) having(generation uint64) int {
	n := 0
	for _, h := range r.d.Hosts {
		if generationOf(h) >= generation {
			n++
		}
	}
	return n
}

// Guards against a manifest that is accepted but never comes into force, when the
// store goes down in the moment of the conditional write and its answer is lost.
// No daemon can have the manifest before the store is back.
func TestManifestAcceptedAsStoreGoesDown(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	w := watchGenerations(r)
	for i := range 2 {
		doc, base := r.changed(2000 + i)
		r.d.Platform.SetFaults(platform.Faults{LoseTableAnswers: 1, OutageAfterLoss: true})
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := r.d.Store().Apply(ctx, doc, base, "first")
		cancel()
		var unknown *manifeststore.UnknownOutcomeError
		r.g.Expect(errors.As(err, &unknown)).To(BeTrue(), "%v", err)
		r.d.Platform.SetFaults(platform.Faults{})
		w.inForce(base+1, time.Now())
		res, err := r.apply(doc, base, "first")
		r.g.Expect(err).NotTo(HaveOccurred())
		r.g.Expect(res.Unchanged).To(BeTrue())
		r.g.Expect(res.Generation).To(Equal(base + 1))
	}
	w.stop()
	r.g.Expect(w.lower).To(BeEmpty())
}

// Guards against a change of primary or of owner that needs the store: both fail
// while it is down, the owner is restarted during the outage, twice in a row.
func TestFailoversWhileStoreIsDown(t *testing.T) {
	r := newRun(t, localdeploy.Config{Hosts: 4})
	r.startSessions(false)
	time.Sleep(500 * time.Millisecond)
	r.d.Platform.SetFaults(platform.Faults{Outage: true, HostListOutage: true})
	for range 2 {
		primary, owner := r.d.Primary(poolName), r.d.Owner(poolName)
		at := time.Now()
		primary.SetFaults(func(f *database.Faults) { f.Cut = true })
		owner.Kill()
		t.Logf("confirmed again %s after the kill", r.confirmedAfter(at))
		primary.SetFaults(func(f *database.Faults) { f.Cut = false })
		r.g.Expect(owner.Start()).To(Succeed())
		time.Sleep(settled)
		t.Logf("gap %s", history.Gap(r.rec.Ops(), at))
	}
	r.d.Platform.SetFaults(platform.Faults{})
	r.check()
}
