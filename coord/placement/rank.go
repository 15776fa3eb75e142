package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// scored is a host with its score for one group.
type scored struct {
	score float64
	index int
}

// Rank returns the n best hosts for the group, best first; all of them if there
// are fewer. It takes O(len(hosts) * n) time in the worst case and allocates
// only the result.
func Rank(group string, hosts []Host, n int) []Host {
	n = min(n, len(hosts))
	if n <= 0 {
		return nil
	}
	top := make([]scored, 0, n)
	seed := xxhash.Sum64String(group)
	for i := range hosts {
		u := uniform(seed, &hosts[i])
		if len(top) == n && below(u, &hosts[i], top[n-1].score) {
			continue
		}
		top = insert(top, scored{score(u, &hosts[i]), i}, hosts)
	}
	ranked := make([]Host, len(top))
	for i, s := range top {
		ranked[i] = hosts[s.index]
	}
	return ranked
}

// insert puts s in its place in top, which keeps its capacity.
func insert(top []scored, s scored, hosts []Host) []scored {
	if len(top) == cap(top) {
		if !better(s, top[len(top)-1], hosts) {
			return top
		}
		top = top[:len(top)-1]
	}
	at := len(top)
	for at > 0 && better(s, top[at-1], hosts) {
		at--
	}
	top = append(top, s)
	copy(top[at+1:], top[at:])
	top[at] = s
	return top
}

// better orders by score; the name decides between equal scores so that the
// order of the host list has no influence.
func better(a, b scored, hosts []Host) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return hosts[a.index].Name < hosts[b.index].Name
}

// uniform returns a number in (0, 1) that depends on the group and the host.
func uniform(group uint64, h *Host) float64 {
	x := mix(group ^ xxhash.Sum64String(h.Name))
	// 53 bits fill a float64's mantissa; the half keeps the result away from 0 and 1.
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// score is -weight/ln(u). The greatest score belongs to each host with a
// probability proportional to its weight.
func score(u float64, h *Host) float64 { return -weight(h) / math.Log(u) }

// below reports whether the score is surely less than the worst of the best,
// without the logarithm: -ln(u) is at least 1-u. The margin exceeds the rounding
// errors of both computations.
func below(u float64, h *Host, worst float64) bool {
	const margin = 1e-9
	return weight(h) < worst*(1-u)*(1-margin)
}

// weight returns the host's weight, at least 1.
func weight(h *Host) float64 { return float64(max(h.Weight, 1)) }

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
