package manifest_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/manifest"
	"github.com/beryltrestle/beryltrestle/coord/placement"
)

// testStart is the start of virtual time.
var testStart = time.Unix(1_000_000, 0)

func hosts(n int) []placement.Host {
	hs := make([]placement.Host, n)
	for i := range hs {
		hs[i] = placement.Host{Name: fmt.Sprintf("h%d", i), Address: fmt.Sprintf("a%d", i), Weight: 1}
	}
	return hs
}

func tracker(n int) *manifest.Tracker {
	t := manifest.NewTracker("h0")
	t.SetHosts(hosts(n))
	return t
}

// Guards against a manifest that is replaced by an older one because an answer is late, and
// against a second fetch from a source that has not answered the first.
func TestGenerationNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, now := tracker(8), testStart
		var inFlight []manifest.Fetch
		high := uint64(0)
		start := func(fs []manifest.Fetch) {
			for _, f := range fs {
				for _, other := range inFlight {
					if other.From == f.From {
						t.Fatalf("second fetch from %v while the first is in flight", f.From)
					}
				}
				inFlight = append(inFlight, f)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			g := rapid.Uint64Range(0, 9).Draw(t, "generation")
			// 0 is a tick, 2 an answer and 3 a failed fetch. With 1, or if no fetch is in
			// flight, a peer reports its generation.
			event := rapid.IntRange(0, 3).Draw(t, "what")
			if event >= 2 && len(inFlight) > 0 {
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")
				f := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				if event == 3 {
					start(tr.Failed(now, f.From))
				} else if tr.Answered(now, f.From, g) != (g > high) {
					t.Fatalf("wrong result of Answered for generation %d, current generation %d", g, high)
				} else {
					high = max(high, g)
				}
			} else if event == 0 {
				start(tr.Tick(now))
			} else {
				start(tr.Observe(now, fmt.Sprintf("a%d", rapid.IntRange(1, 7).Draw(t, "peer")), g))
			}
			if tr.Generation() != high {
				t.Fatalf("generation is %d, want %d", tr.Generation(), high)
			}
		}
	})
}

// Guards against the publication of a first manifest that comes from a peer that is behind.
func TestFirstManifestWaitsForOtherSources(t *testing.T) {
	for name, test := range map[string]struct {
		after func(tr *manifest.Tracker, fs []manifest.Fetch)
		wait  time.Duration
		want  bool
	}{
		"one peer":            {func(*manifest.Tracker, []manifest.Fetch) {}, manifest.StartupTimeout - 1, false},
		"one peer and a wait": {func(*manifest.Tracker, []manifest.Fetch) {}, manifest.StartupTimeout, true},
		"store":               {func(tr *manifest.Tracker, _ []manifest.Fetch) { tr.Answered(testStart, manifest.Store, 4) }, 0, true},
		"store without one":   {func(tr *manifest.Tracker, _ []manifest.Fetch) { tr.Answered(testStart, manifest.Store, 0) }, 0, false},
		"everyone": {func(tr *manifest.Tracker, fs []manifest.Fetch) {
			for _, f := range fs {
				tr.Failed(testStart, f.From)
			}
		}, 0, true},
	} {
		g := NewWithT(t)
		tr := tracker(8)
		fs := tr.Tick(testStart)
		g.Expect(fs).To(HaveLen(4), "three peers and the store")
		tr.Answered(testStart, fs[1].From, 3)
		test.after(tr, fs)
		g.Expect(tr.CanPublish(testStart.Add(test.wait))).To(Equal(test.want), name)
	}
}

// Guards against too many hosts that poll the store, and against pollers that are down and
// are never replaced by others.
func TestFewHostsPollAndTheyChange(t *testing.T) {
	g := NewWithT(t)
	polled := map[int]bool{}
	for epoch := range 30 {
		now := testStart.Add(time.Duration(epoch) * manifest.PollerEpoch)
		pollers := 0
		for i := range 14 {
			tr := manifest.NewTracker(fmt.Sprintf("h%d", i))
			tr.SetHosts(hosts(14))
			if tr.IsPoller(now) {
				pollers++
				polled[i] = true
			}
		}
		g.Expect(pollers).To(Equal(manifest.PollerCount))
	}
	g.Expect(polled).To(HaveLen(14))
}

// Guards against a daemon that stays behind because the first peer that it asks is down.
func TestFailedFetchTriesAnotherPeer(t *testing.T) {
	g := NewWithT(t)
	tr := tracker(8)
	first := tr.Observe(testStart, "a1", 5)
	g.Expect(first).To(Equal([]manifest.Fetch{{From: manifest.Source{Peer: "a1"}}}))
	g.Expect(tr.Observe(testStart, "a1", 5)).To(BeEmpty())
	second := tr.Observe(testStart, "a2", 5)
	g.Expect(second).To(HaveLen(1))
	g.Expect(tr.Observe(testStart, "a3", 0)).To(BeEmpty())
	g.Expect(tr.Failed(testStart, second[0].From)).To(BeEmpty())
	g.Expect(tr.Observe(testStart, "a2", 5)).To(BeEmpty(), "a2 failed recently")
	later := testStart.Add(2 * time.Second)
	g.Expect(tr.Observe(later, "a2", 5)).To(HaveLen(1))
}

// Guards against a store that no host polls because most hosts are down.
func TestUnresponsiveHostsAreNoPollers(t *testing.T) {
	g := NewWithT(t)
	tr := tracker(14)
	for i := 3; i < 14; i++ {
		tr.Failed(testStart, manifest.Source{Peer: fmt.Sprintf("a%d", i)})
	}
	for epoch := range 10 {
		g.Expect(tr.IsPoller(testStart.Add(time.Duration(epoch) * manifest.PollerEpoch))).To(BeTrue())
	}
	tr.Tick(testStart.Add(time.Minute))
	idle := 0
	for epoch := range 10 {
		if !tr.IsPoller(testStart.Add(time.Minute + time.Duration(epoch)*manifest.PollerEpoch)) {
			idle++
		}
	}
	g.Expect(idle).To(BeNumerically(">", 3))
}
