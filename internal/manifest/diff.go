package manifest

import (
	"encoding/json"
	"maps"
	"slices"
)

// Diff returns the changes that turn a into b, by host, pool and endpoint name.
// The order of hosts, pools and endpoints is not a difference; the order of
// kinds and classes is, since the first match decides. A nil document is empty.
func Diff(a, b *Document) []Change {
	a, b = orEmpty(a), orEmpty(b)
	d := &differ{}
	d.compare("document", "", b.Deployment, header{a.Version, a.Deployment}, header{b.Version, b.Deployment})
	diffNamed(d, "host", "", a.Hosts, b.Hosts, func(h Host) string { return h.Name }, nil)
	diffNamed(d, "pool", "", a.Pools, b.Pools, func(p Pool) string { return p.Name }, d.endpoints)
	return d.changes
}

// header is the part of a document beside hosts and pools.
type header struct {
	Version    int    `json:"version"`
	Deployment string `json:"deployment"`
}

func orEmpty(d *Document) *Document {
	if d == nil {
		return &Document{}
	}
	return d
}

// differ collects changes.
type differ struct {
	changes []Change
}

// endpoints compares the endpoints of two versions of one pool.
func (d *differ) endpoints(a, b Pool) {
	diffNamed(d, "endpoint", b.Name, a.Endpoints, b.Endpoints, func(e Endpoint) string { return e.Name }, nil)
}

// diffNamed compares two lists by name. inner compares the parts of a value
// that is in both lists.
func diffNamed[T any](d *differ, subject, pool string, a, b []T, name func(T) string, inner func(a, b T)) {
	before, after := byName(a, name), byName(b, name)
	all := maps.Clone(before)
	maps.Copy(all, after)
	for _, n := range slices.Sorted(maps.Keys(all)) {
		x, had := before[n]
		y, has := after[n]
		switch {
		case !had:
			d.changes = append(d.changes, Change{Action: Added, Subject: subject, Pool: pool, Name: n})
		case !has:
			d.changes = append(d.changes, Change{Action: Removed, Subject: subject, Pool: pool, Name: n})
		default:
			d.compare(subject, pool, n, x, y)
		}
		if inner != nil && had && has {
			inner(x, y)
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

// compare adds a change if a field other than "endpoints" differs.
func (d *differ) compare(subject, pool, name string, a, b any) {
	x, y := fields(a), fields(b)
	all := maps.Clone(x)
	maps.Copy(all, y)
	var changed []FieldChange
	for _, f := range slices.Sorted(maps.Keys(all)) {
		if f != "endpoints" && x[f] != y[f] {
			changed = append(changed, FieldChange{Field: f, Before: x[f], After: y[f]})
		}
	}
	if len(changed) > 0 {
		d.changes = append(d.changes, Change{Action: Changed, Subject: subject, Pool: pool, Name: name, Fields: changed})
	}
}

// fields returns the JSON of each field of a struct. Lists that are empty or
// missing are equal.
func fields(v any) map[string]string {
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
