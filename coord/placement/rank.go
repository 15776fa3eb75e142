package placement

// scored is a host with its score for one group: -weight/ln(u), with u uniform
// in (0, 1). The greatest score belongs to each host with a probability
// proportional to its weight.
type scored struct {
	score float64
	index int
}

// Rank returns the n best hosts for the group, best first; all of them if there
// are fewer. A Ranker is faster for more than one group.
func Rank(group string, hosts []Host, n int) []Host {
	return NewRanker(hosts).Rank(group, n)
}
