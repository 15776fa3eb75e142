package floors_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/floors"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against a floor that is lowered when an endpoint that lags further behind serves
// a later read of the session.
func TestRaiseNeverLowersFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := floors.New(logpos.Position{Term: 3, Offset: 10})
		high := logpos.Position{Term: 3, Offset: 10}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			p := logpos.Position{
				Term:   rapid.Uint64Range(2, 4).Draw(t, "term"),
				Offset: rapid.Uint64Range(0, 20).Draw(t, "offset"),
			}
			f.Raise("s", p)
			high = logpos.Max(high, p)
			if f.Floor("s") != high {
				t.Fatalf("floor %v, want %v", f.Floor("s"), high)
			}
		}
	})
}

// Guards against pruning that lets a session read below the position that it wrote.
func TestPruneKeepsSessionsAtOrAboveTheirFloor(t *testing.T) {
	g := NewWithT(t)
	f := floors.New(logpos.Position{Term: 1, Offset: 1})
	f.Raise("behind", logpos.Position{Term: 1, Offset: 5})
	f.Raise("ahead", logpos.Position{Term: 1, Offset: 9})

	g.Expect(f.Prune(logpos.Position{Term: 1, Offset: 7})).To(Equal(1))
	g.Expect(f.Len()).To(Equal(1))
	g.Expect(f.Floor("behind")).To(Equal(logpos.Position{Term: 1, Offset: 7}))
	g.Expect(f.Floor("ahead")).To(Equal(logpos.Position{Term: 1, Offset: 9}))
}

// Measures the time and the allocations of Raise; see docs/CAPACITY.md.
func BenchmarkRaise(b *testing.B) {
	f := floors.New(logpos.Position{})
	b.ReportAllocs()
	for i := range b.N {
		f.Raise(fmt.Sprintf("session-%08d", i), logpos.Position{Term: 1, Offset: uint64(i) + 1})
	}
}
