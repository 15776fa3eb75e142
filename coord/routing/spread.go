package routing

import (
	"math"
	"time"
)

// ReadCandidate is an endpoint that may serve a read.
type ReadCandidate struct {
	// Cost is the expected time until the answer, with the penalties for distance.
	Cost time.Duration
	// Capacity is the number of statements per second that the endpoint serves.
	Capacity float64
	// Load is the number of statements at the endpoint or waiting for it, divided by its
	// slots.
	Load float64
	// Primary endpoints serve reads only if that takes the least time.
	Primary bool
}

const (
	// strictLoad is the mean load of the replicas up to which the endpoint with the least
	// cost gets every read. Up to fullLoad the share of reads that are spread rises to 1.
	// With 0.25 and 0.75, views of a momentary pause sent all reads to one endpoint.
	strictLoad, fullLoad = 0.1, 0.4
	// spreadScale is the difference of cost at which an endpoint gets 1/e of the reads
	// that its capacity calls for. With views that are half a second old, less makes the
	// reads swing between the endpoints: a host cannot see what the others send now.
	spreadScale = 250 * time.Millisecond
)

// Spread returns the index of the endpoint for a read, among at least one candidate. random
// returns numbers from 0 to 1.
//
// Many hosts choose by the same view of the endpoints, which is up to a second old. If each
// took the endpoint with the least cost, all would take the same one at once. Once the
// replicas are loaded, reads are therefore spread at random in proportion to the capacity,
// which does not depend on what the other hosts do, and weakly by cost. The load of all
// replicas decides, not that of the best one: a replica that has just run out of work would
// otherwise get all reads until the next view.
func Spread(candidates []ReadCandidate, random func() float64) int {
	best, spread := spreadShare(candidates)
	if random() >= spread {
		return best
	}
	weights, sum := spreadWeights(candidates, best)
	at := random() * sum
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return best
}

// Shares returns the probability of each candidate to be chosen by Spread.
func Shares(candidates []ReadCandidate) []float64 {
	best, spread := spreadShare(candidates)
	spread = min(max(spread, 0), 1)
	shares, sum := spreadWeights(candidates, best)
	if sum == 0 {
		spread = 0
	}
	for i := range shares {
		shares[i] *= spread / max(sum, math.SmallestNonzeroFloat64)
	}
	shares[best] += 1 - spread
	return shares
}

// spreadShare returns the index of the candidate with the least cost, and the share of reads that
// are spread; it is below 0 or above 1 beyond the loads between which it rises.
func spreadShare(candidates []ReadCandidate) (best int, share float64) {
	load, replicas := 0.0, 0
	for i, c := range candidates {
		if c.Cost < candidates[best].Cost {
			best = i
		}
		if !c.Primary {
			load += c.Load
			replicas++
		}
	}
	return best, (load/float64(max(replicas, 1)) - strictLoad) / (fullLoad - strictLoad)
}

// spreadWeights returns the weights by which reads are spread, and their sum.
func spreadWeights(candidates []ReadCandidate, best int) (weights []float64, sum float64) {
	weights = make([]float64, len(candidates))
	for i, c := range candidates {
		if c.Primary && i != best {
			continue
		}
		weights[i] = max(c.Capacity, 0) * math.Exp(-float64(c.Cost-candidates[best].Cost)/float64(spreadScale))
		sum += weights[i]
	}
	return weights, sum
}
