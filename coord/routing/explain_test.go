package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against shares that are shown to operators but differ from how reads are spread.
func TestSharesAreThoseOfSpread(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	const reads = 20_000
	for _, load := range []float64{0, 0.25, 2} {
		candidates := []ReadCandidate{
			{Cost: 30 * time.Millisecond, Capacity: 100, Load: load},
			{Cost: 130 * time.Millisecond, Capacity: 200, Load: load},
			{Cost: 50 * time.Millisecond, Capacity: 200, Load: load, Primary: true},
		}
		counts := make([]float64, len(candidates))
		for range reads {
			counts[Spread(candidates, r.Float64)]++
		}
		for i, share := range Shares(candidates) {
			g.Expect(counts[i]/reads).To(BeNumerically("~", share, 0.02), "load %v, candidate %d", load, i)
		}
	}
	g.Expect(Shares([]ReadCandidate{{Load: 9}})).To(Equal([]float64{1}))
}

// Guards against an explanation that uses up the credit of an endpoint with a reduced weight, or
// differs from the next admission.
func TestWouldAdmitIsTheNextAdmission(t *testing.T) {
	g := NewWithT(t)
	h := NewHealth()
	h.SetEndpoints(time.Unix(0, 0), []string{"a", "b", "c"})
	h.endpoints["a"].weight, h.endpoints["b"].weight = 0.25, 0
	admitted := 0
	for range 40 {
		for _, name := range []string{"a", "b", "c", "unknown"} {
			expected := h.WouldAdmit(name)
			g.Expect(h.WouldAdmit(name)).To(Equal(expected))
			g.Expect(h.Admit(name)).To(Equal(expected), name)
			if name == "a" && expected {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(Equal(10))
}

// Guards against relay hosts that are shown in another order than they are used.
func TestUpcomingRelaysAreTheNextOnes(t *testing.T) {
	g := NewWithT(t)
	var r RelayRoute
	g.Expect(r.Upcoming()).To(BeEmpty())
	r.SetRelays(time.Unix(0, 0), []string{"a", "b", "c"})
	r.NextRelay()
	for _, relay := range r.Upcoming() {
		g.Expect(r.NextRelay()).To(Equal(relay))
	}
}
