package manifest

import "github.com/beryltrestle/beryltrestle/internal/findings"

// uniqueValues detects values that appear more than once.
type uniqueValues struct {
	list *findings.List
	// first is the pointer of each value's first appearance.
	first map[string]string
}

func newUniqueValues(l *findings.List) uniqueValues {
	return uniqueValues{list: l, first: make(map[string]string)}
}

// check adds a finding if the value was seen before. Empty values are ignored.
func (u uniqueValues) check(pointer, v string) {
	if v == "" {
		return
	}
	if first, ok := u.first[v]; ok {
		u.list.Add(pointer, "use each value once", "%q is already used at %s", v, first)
		return
	}
	u.first[v] = pointer
}
