package routing_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/routing"
)

func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func pos(offset uint64) logpos.Position { return logpos.Position{Term: 1, Offset: offset} }

func ExampleStaleness() {
	s := routing.NewStaleness()
	s.Sample(at(0), pos(10))
	s.Sample(at(500), pos(20))
	s.Sample(at(1000), pos(30))
	fmt.Println(s.Age(at(1200), pos(30)), s.Age(at(1200), pos(25)), s.Age(at(1200), pos(5)) == routing.UnknownAge)
	// Output: 200ms 700ms true
}

// Guards against a replica that appears fresher than it is, also after samples were
// replaced or dropped.
func TestAgeIsNeverTooSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := routing.NewStaleness()
		now, offset := 0, uint64(1)
		type known struct {
			at     int
			offset uint64
		}
		var all []known
		for range rapid.IntRange(1, 3000).Draw(t, "samples") {
			now += rapid.IntRange(0, 30).Draw(t, "pause")
			offset += rapid.Uint64Range(0, 2).Draw(t, "commits")
			s.Sample(at(now), pos(offset))
			all = append(all, known{now, offset})
		}
		for range 20 {
			applied := rapid.Uint64Range(0, offset+2).Draw(t, "applied")
			// The primary passed the position at some time after the last sample
			// that it covers, so the true age is at most the time since then.
			exact := routing.UnknownAge
			for _, k := range all {
				if k.offset <= applied {
					exact = at(now).Sub(at(k.at))
				}
			}
			if age := s.Age(at(now), pos(applied)); age < exact {
				t.Fatalf("age %v of offset %d, want at least %v", age, applied, exact)
			}
		}
	})
}

// Measures Sample and Age while the largest number of samples is kept.
func BenchmarkStaleness(b *testing.B) {
	s := routing.NewStaleness()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		s.Sample(at(n*20), pos(uint64(n)))
		s.Age(at(n*20), pos(uint64(max(n-500, 0))))
	}
}
