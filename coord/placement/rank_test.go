package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/placement"
)

func hosts(n int) []placement.Host {
	hs := make([]placement.Host, n)
	for i := range hs {
		hs[i] = placement.Host{Name: fmt.Sprintf("host-%04d", i), Weight: 1 + i%4}
	}
	return hs
}

// Guards against a share of groups that does not follow the weights.
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

// Guards against a lost host that moves groups between the remaining hosts, and
// against an influence of the list's order.
func TestRemovalMovesOnlyItsOwnGroups(t *testing.T) {
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

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{14, 5500} {
		hs := hosts(n)
		r := placement.NewRanker(hs)
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.Rank("ledger", 4)
			}
		})
	}
}
