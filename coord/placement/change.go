package placement

// Change is the difference between two host lists.
type Change struct {
	// Added are the hosts that are new or differ.
	Added []Host
	// Removed are the names of the hosts that are gone or differ.
	Removed map[string]bool
}

// Diff returns the change from one host list to another. Names must be
// unique in each.
func Diff(before, after []Host) Change {
	c := Change{Removed: make(map[string]bool)}
	known := make(map[string]Host, len(before))
	for _, h := range before {
		known[h.Name] = h
	}
	for _, h := range after {
		if old, ok := known[h.Name]; !ok || old != h {
			c.Added = append(c.Added, h)
			continue
		}
		delete(known, h.Name)
	}
	for name := range known {
		c.Removed[name] = true
	}
	return c
}

// Empty reports whether the lists hold the same hosts.
func (c Change) Empty() bool { return len(c.Added) == 0 && len(c.Removed) == 0 }

// Rerank returns Rank(group, hosts, n) from the ranking before the change, in
// O(len(c.Added)) time unless a host of that ranking was removed. hosts is the
// list after the change; ranked was made with the same n.
func Rerank(group string, ranked []Host, c Change, hosts []Host, n int) []Host {
	for _, h := range ranked {
		if c.Removed[h.Name] {
			return Rank(group, hosts, n)
		}
	}
	if len(c.Added) == 0 {
		return ranked
	}
	contenders := make([]Host, 0, len(ranked)+len(c.Added))
	contenders = append(contenders, ranked...)
	contenders = append(contenders, c.Added...)
	return Rank(group, contenders, n)
}
