package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// longestSettling bounds the time from the loss of most hosts to that of the primary: from less than the
// hosts that are left need to change the electorate to more.
const longestSettling = 8 * time.Second

// longestLossRun bounds a script that waits for a new primary after the loss of most hosts. With one or
// two hosts left that takes about 25 s, and longer if the machine is busy: at load 100 one of 7 runs of
// TestFrozenMajorityDoesNotUseReplacedPrimary had no successor after 30 s (seed 14).
const longestLossRun = time.Minute

// loseMost kills most hosts for good and starts as many at other addresses.
func (r *runner) loseMost(t *testing.T, random *rand.Rand) {
	r.hostsMu.Lock()
	defer r.hostsMu.Unlock()
	random.Shuffle(len(r.hosts), func(i, j int) { r.hosts[i], r.hosts[j] = r.hosts[j], r.hosts[i] })
	var kills sync.WaitGroup
	for n := range len(r.hosts)/2 + 1 + random.IntN(len(r.hosts)/2) {
		old := r.hosts[n]
		old.replace()
		kills.Go(old.kill)
		next, err := r.newHost(fmt.Sprintf("new-%d", n), old.zone)
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		NewWithT(t).Expect(next.start()).To(Succeed())
		r.hosts[n] = next
	}
	kills.Wait()
}

// awaitSuccessor waits until a successor of the endpoint has committed a write. The test fails if there is
// none when ctx ends.
func (r *runner) awaitSuccessor(ctx context.Context, t *testing.T, e *endpoint) {
	for ctx.Err() == nil && !r.group.hasSuccessor(e) {
		wait.Sleep(ctx, 10*time.Millisecond)
	}
	if !r.group.hasSuccessor(e) {
		t.Error("the primary has no successor")
	}
}

// Guards against a primary that is never replaced after most hosts were lost for good and replaced by
// others, with all processes killed afterwards in half of the runs (RECOVER, review case 10).
func TestPrimaryIsReplacedAfterLossOfMostHosts(t *testing.T) {
	runPlacedWith(t, Config{allDatabases: true, directHosts: true, FaultDuration: longestLossRun, script: func(ctx context.Context, r *runner, random *rand.Rand) {
		wait.Sleep(ctx, time.Second+upTo(random, time.Second))
		r.loseMost(t, random)
		wait.Sleep(ctx, upTo(random, longestSettling))
		if random.IntN(2) == 0 {
			for _, h := range r.hostList() {
				h.kill()
				r.restart(h)
			}
		}
		e := r.crashPrimary()
		r.awaitSuccessor(ctx, t, e)
		wait.Sleep(ctx, time.Second)
	}})
}

// Guards against two primaries if most hosts are frozen together with the only paths to a primary, are
// taken for lost, and go on with what their callers have sent meanwhile after its replacement.
func TestFrozenMajorityDoesNotUseReplacedPrimary(t *testing.T) {
	runPlacedWith(t, Config{allDatabases: true, FaultDuration: longestLossRun, script: func(ctx context.Context, r *runner, random *rand.Rand) {
		wait.Sleep(ctx, time.Second+upTo(random, time.Second))
		e := r.group.primary()
		if e == nil {
			t.Error("there is no primary")
			return
		}
		frozenUntil, wake := context.WithCancel(ctx)
		defer wake()
		inside := map[string]bool{e.id: true}
		var frozen sync.WaitGroup
		for _, n := range random.Perm(len(r.hosts))[:3+random.IntN(2)] {
			h := r.hosts[n]
			inside[h.name] = true
			frozen.Go(func() { h.pause(frozenUntil, time.Minute) })
		}
		r.isolate(inside)
		r.awaitSuccessor(ctx, t, e)
		wait.Sleep(ctx, upTo(random, time.Second))
		wake()
		frozen.Wait()
		wait.Sleep(ctx, 2*time.Second)
	}})
}

// Guards against two primaries if most hosts are cut off from the store and the others, with a primary
// that only they reach, and are taken for lost (ONE, STALE, review case 1).
func TestCutOffMajorityDoesNotUseReplacedPrimary(t *testing.T) {
	runPlacedWith(t, Config{allDatabases: true, FaultDuration: longestLossRun, script: func(ctx context.Context, r *runner, random *rand.Rand) {
		wait.Sleep(ctx, time.Second+upTo(random, time.Second))
		e := r.group.primary()
		if e == nil {
			t.Error("there is no primary")
			return
		}
		inside := map[string]bool{e.id: true}
		for _, n := range random.Perm(len(r.hosts))[:3+random.IntN(2)] {
			h := r.hosts[n]
			inside[h.name] = true
			r.store.setFault(h.name, storeHangs)
			defer r.store.setFault(h.name, storeHealthy)
		}
		r.isolate(inside)
		r.awaitSuccessor(ctx, t, e)
		wait.Sleep(ctx, 2*time.Second)
	}})
}
