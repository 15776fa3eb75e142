package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Ranker ranks a fixed list of hosts for many groups. It hashes the hosts'
// names once. It is safe for concurrent use.
type Ranker struct {
	hosts   []Host
	hashes  []uint64
	weights []float64
}

// NewRanker returns a Ranker of the hosts, which must not change afterwards.
func NewRanker(hosts []Host) *Ranker {
	r := &Ranker{
		hosts:   hosts,
		hashes:  make([]uint64, len(hosts)),
		weights: make([]float64, len(hosts)),
	}
	for i := range hosts {
		r.hashes[i] = xxhash.Sum64String(hosts[i].Name)
		r.weights[i] = float64(max(hosts[i].Weight, 1))
	}
	return r
}

// Rank returns the n best hosts for the group, best first; all of them if there
// are fewer. It allocates only the result and n scores.
func (r *Ranker) Rank(group string, n int) []Host {
	n = min(n, len(r.hosts))
	if n <= 0 {
		return nil
	}
	top := r.top(xxhash.Sum64String(group), n)
	ranked := make([]Host, len(top))
	for i, s := range top {
		ranked[i] = r.hosts[s.index]
	}
	return ranked
}

// top avoids most logarithms: since -ln(u) >= 1-u, weight/(1-u) is an upper
// bound of the score, and few hosts of a long list exceed the least score kept.
func (r *Ranker) top(seed uint64, n int) []scored {
	top := make([]scored, 0, n)
	least := 0.0
	for i, h := range r.hashes {
		u := uniform(mix(seed ^ h))
		if r.weights[i] < least*(1-u) {
			continue
		}
		top = r.insert(top, scored{-r.weights[i] / math.Log(u), i})
		if len(top) == n {
			least = top[n-1].score
		}
	}
	return top
}

// insert puts s in its place in top, which keeps its capacity.
func (r *Ranker) insert(top []scored, s scored) []scored {
	if len(top) == cap(top) {
		if !r.better(s, top[len(top)-1]) {
			return top
		}
		top = top[:len(top)-1]
	}
	at := len(top)
	for at > 0 && r.better(s, top[at-1]) {
		at--
	}
	top = append(top, s)
	copy(top[at+1:], top[at:])
	top[at] = s
	return top
}

// better orders by score; the name decides between equal scores so that the
// order of the host list has no influence.
func (r *Ranker) better(a, b scored) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return r.hosts[a.index].Name < r.hosts[b.index].Name
}

// uniform maps x to the open interval (0, 1). 53 bits fill a float64's mantissa.
func uniform(x uint64) float64 { return (float64(x>>11) + 0.5) / (1 << 53) }

// mix spreads the combination of two hashes over all bits (the finalizer of
// SplitMix64), because the exclusive or of hashes alone correlates the rankings
// of two groups.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
