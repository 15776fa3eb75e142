package manifest_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/manifest"
)

// spread returns the number of ticks until one host's manifest has reached all live hosts
// by fetches from peers, without the store and heartbeats. down is the interval at which
// hosts are down, for example 3 for every third host; 0 means none. It fails after 60 ticks.
func spread(tb testing.TB, n, down int) int {
	tb.Helper()
	list := hosts(n)
	now := time.Unix(1_000_000, 0)
	index := make(map[string]int)
	trackers := make([]*manifest.Tracker, n)
	for i, h := range list {
		index[h.Address] = i
		if down > 0 && i%down == 1 {
			continue
		}
		trackers[i] = manifest.NewTracker(h.Name)
		trackers[i].SetHosts(list)
		trackers[i].Answered(now, manifest.Store, 1)
	}
	trackers[0].Answered(now, manifest.Store, 2)
	for tick := 1; tick <= 60; tick++ {
		now = now.Add(time.Second)
		held := make([]uint64, n)
		for i, t := range trackers {
			if t != nil {
				held[i] = t.Generation()
			}
		}
		for _, t := range trackers {
			if t != nil {
				fetchAll(t, now, index, held)
			}
		}
		if !anyBehind(trackers) {
			return tick
		}
	}
	tb.Fatal("the manifest did not reach all hosts within 60 ticks")
	return 0
}

// fetchAll runs one tick of a tracker and its fetches. Hosts without a manifest are down.
func fetchAll(t *manifest.Tracker, now time.Time, index map[string]int, held []uint64) {
	for _, f := range t.Tick(now) {
		switch i, ok := index[f.From.Peer]; {
		case !ok, held[i] == 0:
			t.Failed(now, f.From)
		default:
			t.Answered(now, f.From, held[i])
		}
	}
}

func anyBehind(trackers []*manifest.Tracker) bool {
	for _, t := range trackers {
		if t != nil && t.Generation() < 2 {
			return true
		}
	}
	return false
}

// Measures how a manifest spreads while the store is down.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{14, 550, 5500} {
		for _, down := range []int{0, 3} {
			b.Run(fmt.Sprintf("hosts=%d/dead=1 of %d", n, down), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(spread(b, n, down)), "ticks")
				}
			})
		}
	}
}

// Guards against neighbours that do not connect all hosts: a manifest must reach all hosts
// well within the limit of 18 s, also with a third of the hosts down.
func TestManifestReachesAllHosts(t *testing.T) {
	for extra := range 3 {
		if ticks := spread(t, 200+extra, 3); ticks > 12 {
			t.Errorf("%d hosts took %d ticks", 200+extra, ticks)
		}
	}
}

// Measures Tick of one tracker, which chooses pollers and peers.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{14, 5500} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			t := tracker(n)
			now := time.Unix(1_000_000, 0)
			for b.Loop() {
				now = now.Add(time.Second)
				for _, f := range t.Tick(now) {
					t.Answered(now, f.From, 1)
				}
			}
		})
	}
}
