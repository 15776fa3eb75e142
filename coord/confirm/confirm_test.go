package confirm_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/confirm"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

func at(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }

func pos(term, offset uint64) logpos.Position { return logpos.Position{Term: term, Offset: offset} }

func Example() {
	tracker := confirm.New(7, []string{"a", "b", "c"})
	tracker.Observe("a", 7, pos(7, 12), at(0))
	tracker.Observe("b", 7, pos(7, 9), at(5))
	fmt.Println(tracker.Received(), tracker.LeaseStart().Equal(at(0)))
	tracker.Observe("c", 8, pos(7, 9), at(6))
	fmt.Println(tracker.Superseded())
	// Output:
	// 7/9 true
	// 8 true
}

// Guards against a write that is confirmed because a majority has an entry of an earlier
// term, which the next primary may still truncate.
func TestReceivedIgnoresEarlierTerms(t *testing.T) {
	g := NewWithT(t)
	tracker := confirm.New(7, []string{"a", "b", "c"})
	for _, name := range []string{"a", "b", "c"} {
		tracker.Observe(name, 7, pos(6, 50), at(0))
	}
	g.Expect(tracker.Received()).To(Equal(logpos.Position{}))
}

// Guards against a lease or a confirmation that relies on an endpoint that is at another
// term or outside the group.
func TestAnswersOfOtherTermsDoNotCount(t *testing.T) {
	g := NewWithT(t)
	tracker := confirm.New(7, []string{"a", "b", "c"})
	tracker.Observe("a", 7, pos(7, 5), at(1))
	tracker.Observe("b", 8, pos(7, 5), at(2))
	tracker.Observe("c", 6, pos(6, 5), at(3))
	tracker.Observe("stranger", 7, pos(7, 5), at(4))
	g.Expect(tracker.LeaseStart()).To(BeZero())
	g.Expect(tracker.Received()).To(Equal(logpos.Position{}))
}

// Guards against a wrong count of a majority when answers arrive in any order. Compares
// Received and LeaseStart with their definitions.
func TestMajoritiesMatchTheirDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "endpoints")]
		tracker := confirm.New(7, names)
		received := map[string]logpos.Position{}
		started := map[string]int{}
		for range rapid.IntRange(0, 20).Draw(t, "answers") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			term := rapid.Uint64Range(6, 8).Draw(t, "term")
			p := pos(rapid.Uint64Range(6, 7).Draw(t, "log term"), rapid.Uint64Range(1, 9).Draw(t, "offset"))
			ms := rapid.IntRange(1, 50).Draw(t, "started")
			tracker.Observe(name, term, p, at(ms))
			if term != 7 {
				continue
			}
			started[name] = max(started[name], ms)
			if p.Term == 7 {
				received[name] = logpos.Max(received[name], p)
			}
		}
		var wantReceived logpos.Position
		var wantStart time.Time
		for _, candidate := range names {
			receivedBy, answeredSince := 0, 0
			for _, name := range names {
				if !received[name].Less(received[candidate]) {
					receivedBy++
				}
				if started[name] >= started[candidate] {
					answeredSince++
				}
			}
			if 2*receivedBy > len(names) {
				wantReceived = logpos.Max(wantReceived, received[candidate])
			}
			if 2*answeredSince > len(names) && started[candidate] > 0 && at(started[candidate]).After(wantStart) {
				wantStart = at(started[candidate])
			}
		}
		if tracker.Received() != wantReceived || !tracker.LeaseStart().Equal(wantStart) {
			t.Fatalf("received %v with lease start %v, want %v with lease start %v", tracker.Received(), tracker.LeaseStart(), wantReceived, wantStart)
		}
	})
}

// Measures Observe, Received and LeaseStart.
func BenchmarkObserve(b *testing.B) {
	tracker := confirm.New(7, []string{"a", "b", "c"})
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		tracker.Observe("b", 7, pos(7, uint64(n)), at(n))
		tracker.Received()
		tracker.LeaseStart()
	}
}
