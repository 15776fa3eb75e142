package placement

// Change is the difference between two host lists.
type Change struct {
	// Added holds the hosts of the new list that the old one lacks or has with another
	// address or weight.
	Added []Host
	// Removed holds the names of the hosts of the old list that the new one lacks or
	// has with another address or weight.
	Removed map[string]bool
}

// Diff returns the change from one host list to another. Names must be unique within
// each list.
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

// Rerank returns the same as Rank(group, hosts, n). It starts from ranked, the ranking of
// the same n before the change, and takes O(len(c.Added)) time unless the change removed a
// host of that ranking. hosts is the list after the change.
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
