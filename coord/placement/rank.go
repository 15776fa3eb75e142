package placement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a host with its score for one group.
type scored struct {
	score float64
	index int
}

// Rank returns the n best hosts for the group, best first, or all hosts if there are
// fewer. It takes O(len(hosts) * n) time in the worst case and allocates only the result.
func Rank(group string, hosts []Host, n int) []Host {
	n = min(n, len(hosts))
	if n <= 0 {
		return nil
	}
	top := make([]scored, 0, n)
	seed := xxhash.Sum64String(group)
	for i := range hosts {
		u := uniform(seed, &hosts[i])
		if len(top) == n && surelyBelow(u, &hosts[i], top[n-1].score) {
			continue
		}
		top = insertRanked(top, scored{score(u, &hosts[i]), i}, hosts)
	}
	ranked := make([]Host, len(top))
	for i, s := range top {
		ranked[i] = hosts[s.index]
	}
	return ranked
}

// RankNames is Rank for hosts of equal weight that are given by name.
func RankNames(group string, names []string, n int) []string {
	hosts := make([]Host, len(names))
	for i, name := range names {
		hosts[i].Name = name
	}
	ranked := Rank(group, hosts, n)
	out := make([]string, len(ranked))
	for i, h := range ranked {
		out[i] = h.Name
	}
	return out
}

// Position returns the number of hosts that rank before the named host for the group, or -1
// if the host is not among them. It takes O(len(hosts)) time and allocates nothing.
func Position(group string, hosts []Host, name string) int {
	own := slices.IndexFunc(hosts, func(h Host) bool { return h.Name == name })
	if own < 0 {
		return -1
	}
	seed := xxhash.Sum64String(group)
	scoredAt := func(i int) scored { return scored{score(uniform(seed, &hosts[i]), &hosts[i]), i} }
	before, self := 0, scoredAt(own)
	for i := range hosts {
		if i != own && better(scoredAt(i), self, hosts) {
			before++
		}
	}
	return before
}

// insertRanked inserts s into top in order. If top is full, the last of them drops out.
func insertRanked(top []scored, s scored, hosts []Host) []scored {
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

// better orders by score, and equal scores by name, so that the order of the host list
// does not matter.
func better(a, b scored, hosts []Host) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return hosts[a.index].Name < hosts[b.index].Name
}

// uniform returns a number in (0, 1) that depends on the group and the host.
func uniform(group uint64, h *Host) float64 {
	x := mix(group ^ xxhash.Sum64String(h.Name))
	// 53 bits fill the mantissa of a float64; adding 0.5 keeps the result from being 0 or 1.
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// score returns -weight/ln(u). The probability that a host has the highest score is
// proportional to its weight.
func score(u float64, h *Host) float64 { return -weight(h) / math.Log(u) }

// surelyBelow reports whether the host's score is certainly below worst, the lowest of the
// best scores so far. It saves the logarithm, because -ln(u) is at least 1-u. The margin
// is larger than the rounding errors of both computations.
func surelyBelow(u float64, h *Host, worst float64) bool {
	const margin = 1e-9
	return weight(h) < worst*(1-u)*(1-margin)
}

// weight returns the host's weight, at least 1.
func weight(h *Host) float64 { return float64(max(h.Weight, 1)) }

// mix is the finalizer of SplitMix64. Without it, the exclusive or of two hashes would
// make the rankings of different groups correlate.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
