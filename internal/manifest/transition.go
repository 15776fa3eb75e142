package manifest

import (
	"fmt"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// CheckTransition reports what makes it unsafe to replace one document by
// another. Endpoints of a pool may be added or removed only one at a time. A
// majority of the old list and a majority of the new list then share an
// endpoint, so that two daemons with different lists cannot both claim the
// group.
func CheckTransition(from, to *Document) findings.List {
	before := make(map[string]Pool)
	for _, p := range documentOrEmpty(from).Pools {
		before[p.Name] = p
	}
	var list findings.List
	for i, p := range to.Pools {
		old, ok := before[p.Name]
		if !ok || countDiffering(old.Endpoints, p.Endpoints) <= 1 {
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

// countDiffering counts the addresses that are in only one of the lists.
func countDiffering(a, b []Endpoint) int {
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
