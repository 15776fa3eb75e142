package manifest

import (
	"fmt"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// CheckTransition reports what makes b unsafe to apply over a. Endpoints may be
// added to or removed from a pool only one at a time: a majority of the old list
// and one of the new list then share an endpoint, so that two daemons that apply
// different lists can't both claim the group.
func CheckTransition(a, b *Document) findings.List {
	before := make(map[string]Pool)
	for _, p := range orEmpty(a).Pools {
		before[p.Name] = p
	}
	var list findings.List
	for i, p := range b.Pools {
		old, ok := before[p.Name]
		if !ok || differing(old.Endpoints, p.Endpoints) <= 1 {
			continue
		}
		list = append(list, findings.Finding{
			Pointer: fmt.Sprintf("/pools/%d/endpoints", i),
			Problem: "more than one endpoint address is added or removed in one change",
			Remedy:  "apply one change for each endpoint: first add the new one, then remove the old one",
		})
	}
	return list
}

// differing counts the addresses that are in only one of the lists.
func differing(a, b []Endpoint) int {
	seen := make(map[string]int)
	for _, e := range a {
		seen[e.Address]++
	}
	for _, e := range b {
		seen[e.Address]--
	}
	n := 0
	for _, count := range seen {
		if count != 0 {
			n++
		}
	}
	return n
}
