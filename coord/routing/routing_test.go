package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/routing"
)

func ExampleChoose() {
	s := routing.NewStaleness()
	s.Sample(at(0), pos(10))
	s.Sample(at(1000), pos(20))
	read := routing.Read{Floor: pos(10), MaxStaleness: 2 * time.Second}
	c, _ := routing.Choose(at(1100), read, []routing.Candidate{
		{Name: "primary", Primary: true, Accepting: true, Applied: pos(20), Wait: 5 * time.Millisecond},
		{Name: "replica", Accepting: true, Applied: pos(12), Distance: time.Millisecond},
	}, s)
	fmt.Println(c.Endpoint, c.CatchUpWait, c.Expected)
	// Output: replica 0s 1ms
}

// Guards against a read on a replica that is below the session's floor or staler than
// the read allows.
func TestChooseRespectsFloorAndStaleness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := routing.NewStaleness()
		for n := range 20 {
			s.Sample(at(n*100), pos(uint64(n+1)))
		}
		now := at(1950)
		read := routing.Read{
			Floor:        pos(rapid.Uint64Range(0, 21).Draw(t, "floor")),
			MaxStaleness: time.Duration(rapid.IntRange(0, 2500).Draw(t, "staleness")) * time.Millisecond,
		}
		var all []routing.Candidate
		for n := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
			all = append(all, routing.Candidate{
				Name: fmt.Sprint(n), Primary: n == 0, Accepting: rapid.Bool().Draw(t, "accepting"),
				Applied: pos(rapid.Uint64Range(0, 21).Draw(t, "applied")),
				Wait:    time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond,
			})
		}
		choice, ok := routing.Choose(now, read, all, s)
		for _, c := range all {
			if !ok && c.Primary && c.Accepting {
				t.Fatal("the primary accepts reads, but none was chosen")
			}
			if !ok || c.Name != choice.Endpoint || c.Primary {
				continue
			}
			fresh := s.Age(now, c.Applied) <= read.MaxStaleness && read.MaxStaleness > 0
			below := !c.Applied.Covers(read.Floor)
			if !c.Accepting || !fresh || below && choice.CatchUpWait == 0 {
				t.Fatalf("chose %+v for %+v with a catch-up wait of %v", c, read, choice.CatchUpWait)
			}
		}
	})
}

// Guards against a read that waits for the primary although a replica catches up sooner,
// and against one that waits for a replica although the primary is free sooner.
func TestChooseComparesCatchUpWithThePrimarysQueue(t *testing.T) {
	g := NewWithT(t)
	s := routing.NewStaleness()
	for n := range 20 {
		s.Sample(at(n*50), pos(uint64(n+1)))
	}
	// The floor is 50 ms old and the replica lags by 100 ms.
	read := routing.Read{Floor: pos(19), MaxStaleness: time.Second}
	for wait, want := range map[time.Duration]string{20 * time.Millisecond: "primary", 80 * time.Millisecond: "replica"} {
		c, ok := routing.Choose(at(950), read, []routing.Candidate{
			{Name: "primary", Primary: true, Accepting: true, Wait: wait},
			{Name: "replica", Accepting: true, Applied: pos(18)},
		}, s)
		g.Expect(ok).To(BeTrue())
		g.Expect(c.Endpoint).To(Equal(want))
	}
}

// Guards against fewer than half of the endpoints at full weight, whatever the runs on
// them report.
func TestAtLeastHalfStayInUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := routing.NewHealth()
		var names []string
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(names) == 0 || rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				names = []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "endpoints")]
				h.SetEndpoints(at(now), names)
			}
			for _, name := range names {
				failed := rapid.Bool().Draw(t, "failed")
				slow := time.Duration(rapid.SampledFrom([]int{1, 1, 20}).Draw(t, "run"))
				for range 12 {
					h.Observe(name, slow*time.Millisecond, time.Millisecond, failed)
				}
			}
			now += rapid.SampledFrom([]int{500, 1000, 6000}).Draw(t, "pause")
			h.Update(at(now))
			full := 0
			for _, name := range names {
				if h.Weight(name) == 1 {
					full++
				}
			}
			if 2*full < len(names) {
				t.Fatalf("%d of %d endpoints are in full use", full, len(names))
			}
		}
	})
}

// Guards against an endpoint that is ejected, or returns to full weight, in one step.
func TestEjectionAndReturnAreGradual(t *testing.T) {
	g := NewWithT(t)
	h := routing.NewHealth()
	h.SetEndpoints(at(0), []string{"a", "b", "c"})
	var weights []float64
	for second := 1; second <= 14; second++ {
		for range 20 {
			h.Observe("a", time.Millisecond, time.Millisecond, second <= 4)
			h.Observe("b", time.Millisecond, time.Millisecond, false)
		}
		h.Update(at(second * 1000))
		weights = append(weights, h.Weight("a"))
	}
	g.Expect(weights).To(Equal([]float64{0.5, 0.25, 0.125, 0, 0, 0, 0, 0, 0.125, 0.25, 0.5, 1, 1, 1}))
	g.Expect(h.Weight("b")).To(Equal(1.0))
}
