package manifest

import (
	"encoding/json"
	"maps"
	"slices"
)

// Diff returns the changes that turn one document into another, by host, pool
// and endpoint name. It ignores the order of hosts, pools and endpoints, but
// not that of classes and of kinds of read and write, since the first match
// decides. A nil document counts as empty.
func Diff(from, to *Document) []Change {
	from, to = documentOrEmpty(from), documentOrEmpty(to)
	d := &diffCollector{}
	d.compareFields("document", "", to.Deployment, documentHeader{from.Version, from.Deployment}, documentHeader{to.Version, to.Deployment})
	diffNamed(d, "host", "", from.Hosts, to.Hosts, func(h Host) string { return h.Name }, nil)
	diffNamed(d, "pool", "", from.Pools, to.Pools, func(p Pool) string { return p.Name }, d.compareEndpoints)
	return d.changes
}

// documentHeader holds the fields of a document other than hosts and pools.
type documentHeader struct {
	Version    int    `json:"version"`
	Deployment string `json:"deployment"`
}

func documentOrEmpty(d *Document) *Document {
	if d == nil {
		return &Document{}
	}
	return d
}

// diffCollector collects changes.
type diffCollector struct {
	changes []Change
}

// compareEndpoints compares the endpoints of two versions of one pool.
func (d *diffCollector) compareEndpoints(a, b Pool) {
	diffNamed(d, "endpoint", b.Name, a.Endpoints, b.Endpoints, func(e Endpoint) string { return e.Name }, nil)
}

// diffNamed compares two lists by name. For values that are in both lists,
// diffParts, if set, compares their parts.
func diffNamed[T any](d *diffCollector, subject, pool string, a, b []T, name func(T) string, diffParts func(a, b T)) {
	before, after := byName(a, name), byName(b, name)
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, n := range slices.Sorted(maps.Keys(all)) {
		x, had := before[n]
		y, has := after[n]
		switch {
		case !had:
			d.changes = append(d.changes, Change{Action: ActionAdded, Subject: subject, Pool: pool, Name: n})
		case !has:
			d.changes = append(d.changes, Change{Action: ActionRemoved, Subject: subject, Pool: pool, Name: n})
		default:
			d.compareFields(subject, pool, n, x, y)
		}
		if diffParts != nil && had && has {
			diffParts(x, y)
		}
	}
}

func byName[T any](list []T, name func(T) string) map[string]T {
	m := make(map[string]T, len(list))
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

// compareFields adds a change if any field other than "endpoints" differs.
func (d *diffCollector) compareFields(subject, pool, name string, a, b any) {
	x, y := encodedFields(a), encodedFields(b)
	all := maps.Clone(x)
	maps.Copy(all, y)
	var changed []FieldChange
	for _, f := range slices.Sorted(maps.Keys(all)) {
		if f != "endpoints" && x[f] != y[f] {
			changed = append(changed, FieldChange{Field: f, Before: x[f], After: y[f]})
		}
	}
	if len(changed) > 0 {
		d.changes = append(d.changes, Change{Action: ActionChanged, Subject: subject, Pool: pool, Name: name, Fields: changed})
	}
}

// encodedFields returns the JSON of each field of a struct. An empty list and a
// missing one have the same JSON.
func encodedFields(v any) map[string]string {
	encoded, _ := json.Marshal(v) // Cannot fail: manifest types hold only strings, numbers, booleans and slices.
	raw := make(map[string]json.RawMessage)
	_ = json.Unmarshal(encoded, &raw) // Cannot fail: it was encoded from a struct.
	m := make(map[string]string, len(raw))
	for k, r := range raw {
		m[k] = string(r)
		if m[k] == "null" {
			m[k] = "[]"
		}
	}
	return m
}
