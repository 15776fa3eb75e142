package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// herdModel models hosts that send reads to endpoints of 4 slots by a common view, which is
// renewed every 300 ms and then 300 ms old. It returns the longest wait at an endpoint at
// each renewal of the last 15 s, and the share of reads of each endpoint.
func herdModel(seed uint64, runTimes []time.Duration, rate float64, choose func([]ReadCandidate, func() float64) int) (waits []time.Duration, shares []float64) {
	const step, period, slots = time.Millisecond, 300 * time.Millisecond, 4
	r := rand.New(rand.NewPCG(seed, 1))
	queues := make([]int, len(runTimes))
	busyUntil := make([][slots]time.Duration, len(runTimes))
	shares = make([]float64, len(runTimes))
	told, view := make([]ReadCandidate, len(runTimes)), make([]ReadCandidate, len(runTimes))
	total := 0.0
	for at := time.Duration(0); at < 20*time.Second; at += step {
		if at%period == 0 {
			copy(view, told)
			longest := time.Duration(0)
			for i, run := range runTimes {
				running := 0
				for _, until := range busyUntil[i] {
					if until > at {
						running++
					}
				}
				wait := run * time.Duration(queues[i]) / slots
				longest = max(longest, wait)
				told[i] = ReadCandidate{Cost: run + wait, Capacity: slots / run.Seconds(), Load: float64(queues[i]+running) / slots}
			}
			if at == 0 {
				copy(view, told)
			}
			if at >= 5*time.Second {
				waits = append(waits, longest)
			}
		}
		for n := r.ExpFloat64(); n < rate*step.Seconds(); n += r.ExpFloat64() {
			i := choose(view, r.Float64)
			queues[i]++
			shares[i]++
			total++
		}
		for i, run := range runTimes {
			for slot, until := range busyUntil[i] {
				if until <= at && queues[i] > 0 {
					queues[i]--
					busyUntil[i][slot] = at + time.Duration(r.ExpFloat64()*float64(run))
				}
			}
		}
	}
	for i := range shares {
		shares[i] /= total
	}
	slices.Sort(waits)
	return waits, shares
}

// leastCost chooses without spreading.
func leastCost(candidates []ReadCandidate, _ func() float64) int {
	return Spread(candidates, func() float64 { return 1 })
}

// Guards against hosts that all take the endpoint which the last view shows as the best. Two
// equal endpoints get 80% of what they serve.
func TestHostsWithOneViewDoNotHerd(t *testing.T) {
	g := NewWithT(t)
	runTimes := []time.Duration{10 * time.Millisecond, 10 * time.Millisecond}
	for seed := uint64(1); seed <= 3; seed++ {
		spread, _ := herdModel(seed, runTimes, 640, Spread)
		strict, _ := herdModel(seed, runTimes, 640, leastCost)
		at := len(spread) * 9 / 10
		t.Logf("wait, 90th percentile: spread %s, least cost %s", spread[at], strict[at])
		g.Expect(spread[at]).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(strict[at]).To(BeNumerically(">", 400*time.Millisecond))
	}
}

// Guards against an even spread that overloads the slower endpoint: one is 4 times slower,
// and both together get 70% of what they serve.
func TestSlowerEndpointGetsItsShare(t *testing.T) {
	g := NewWithT(t)
	runTimes := []time.Duration{10 * time.Millisecond, 40 * time.Millisecond}
	even := func(c []ReadCandidate, random func() float64) int { return int(random() * float64(len(c))) }
	for seed := uint64(1); seed <= 3; seed++ {
		spread, shares := herdModel(seed, runTimes, 350, Spread)
		uniform, _ := herdModel(seed, runTimes, 350, even)
		at := len(spread) * 9 / 10
		t.Logf("wait, 90th percentile: spread %s, even %s; shares %.2f", spread[at], uniform[at], shares)
		g.Expect(spread[at]).To(BeNumerically("<", 100*time.Millisecond))
		g.Expect(uniform[at]).To(BeNumerically(">", time.Second))
		g.Expect(shares[1]).To(BeNumerically("<", 0.25))
	}
}

// Guards against reads that leave the nearest endpoint while it is free, and reads on the
// primary while a replica is as good.
func TestFreeEndpointAndPrimary(t *testing.T) {
	g := NewWithT(t)
	r := rand.New(rand.NewPCG(1, 1))
	near := ReadCandidate{Cost: 10 * time.Millisecond, Capacity: 400, Load: 0.15}
	far := ReadCandidate{Cost: 16 * time.Millisecond, Capacity: 400}
	primary := ReadCandidate{Cost: 20 * time.Millisecond, Capacity: 400, Primary: true}
	for range 100 {
		g.Expect(Spread([]ReadCandidate{primary, far, near}, r.Float64)).To(Equal(2))
	}
	near.Load, far.Load = 2, 2
	taken := map[int]int{}
	for range 1000 {
		taken[Spread([]ReadCandidate{primary, far, near}, r.Float64)]++
	}
	g.Expect(taken[0]).To(BeZero())
	g.Expect(taken[1]).To(BeNumerically("~", 500, 80))
	primary.Cost = 5 * time.Millisecond
	clear(taken)
	for range 1000 {
		taken[Spread([]ReadCandidate{primary, far, near}, r.Float64)]++
	}
	g.Expect(taken[0]).To(BeNumerically("~", 333, 60), "not all reads may go to the primary at once")
}
