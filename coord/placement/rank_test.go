package placement_test

import (
	"fmt"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

func hosts(n int) []placement.Host {
	hs := make([]placement.Host, n)
	for i := range hs {
		hs[i] = placement.Host{Name: fmt.Sprintf("host-%04d", i), Weight: 1 + i%4}
	}
	return hs
}

// Guards against hosts whose share of groups is not proportional to their weights.
func TestFirstRankFollowsWeights(t *testing.T) {
	g := NewWithT(t)
	const groups = 40000
	first := make(map[int]int)
	for i := range groups {
		first[placement.Rank(fmt.Sprintf("pool-%d", i), hosts(12), 1)[0].Weight]++
	}
	for w := 1; w <= 4; w++ {
		g.Expect(float64(first[w])).To(BeNumerically("~", groups*w/10, groups/100), "weight %d", w)
	}
}

// Guards against a removed host whose removal moves groups between the remaining hosts,
// and against rankings that depend on the order of the host list.
func TestRemovedHostMovesOnlyItsOwnGroups(t *testing.T) {
	g := NewWithT(t)
	all := hosts(14)
	rest := append(append([]placement.Host{}, all[8:]...), all[:7]...)
	for i := range 1000 {
		group := fmt.Sprintf("pool-%d", i)
		var want []placement.Host
		for _, h := range placement.Rank(group, all, 14) {
			if h.Name != all[7].Name {
				want = append(want, h)
			}
		}
		g.Expect(placement.Rank(group, rest, 4)).To(Equal(want[:4]))
	}
}

// Guards against a result of Rerank that differs from Rank, so that daemons would rank
// differently, and against a shortcut in Rank that skips one of the best hosts.
func TestRerankEqualsRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []placement.Host {
			var list []placement.Host
			for i := range 12 {
				if rapid.Bool().Draw(t, label) {
					w := rapid.IntRange(0, 3).Draw(t, "weight")
					list = append(list, placement.Host{Name: fmt.Sprint("host-", i), Weight: w})
				}
			}
			return list
		}
		before, after := draw("before"), draw("after")
		n := rapid.IntRange(1, 5).Draw(t, "n")
		change := placement.Diff(before, after)
		for i := range 50 {
			group := fmt.Sprint("pool-", i)
			got := placement.Rerank(group, placement.Rank(group, before, n), change, after, n)
			want := placement.Rank(group, after, len(after))
			want = want[:min(n, len(want))]
			if len(got)+len(want) > 0 && !slices.Equal(got, want) {
				t.Fatalf("group %s: ranking %v instead of %v", group, got, want)
			}
		}
	})
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{14, 5500} {
		hs := hosts(n)
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				placement.Rank("ledger", hs, 4)
			}
		})
	}
}

// Guards against hosts that disagree on which of them goes first because one of them has
// the ranking and another only its own position.
func TestPositionAgreesWithRank(t *testing.T) {
	g := NewWithT(t)
	all := hosts(30)
	for i := range 50 {
		group := fmt.Sprintf("pool-%d", i)
		for at, h := range placement.Rank(group, all, len(all)) {
			g.Expect(placement.Position(group, all, h.Name)).To(Equal(at))
		}
	}
	g.Expect(placement.Position("pool", all, "unknown")).To(Equal(-1))
}
