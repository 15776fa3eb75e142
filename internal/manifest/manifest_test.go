package manifest_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"reflect"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

var examples = []string{"../../examples/cooperative.json", "../../examples/lindqvist.json"}

// loadExample decodes an example, which must be valid.
func loadExample(tb testing.TB, path string) *manifest.Document {
	tb.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	doc, list := manifest.Decode(data)
	if len(list) > 0 {
		tb.Fatal(list)
	}
	return doc
}

// Guards against a schema and examples that no longer match the code.
func TestSchemaAcceptsExamplesAndRejectsUnknownKeys(t *testing.T) {
	g := NewWithT(t)
	schema, err := jsonschema.NewCompiler().Compile("../../docs/manifest.schema.json")
	g.Expect(err).NotTo(HaveOccurred())
	for i, path := range examples {
		doc := loadExample(t, path)
		g.Expect(doc.Hosts).To(HaveLen(13 + i))
		g.Expect(doc.Pools).To(HaveLen(3))
		file, err := os.Open(path)
		g.Expect(err).NotTo(HaveOccurred())
		value, err := jsonschema.UnmarshalJSON(file)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(schema.Validate(value)).To(Succeed())
		value.(map[string]any)["pools"].([]any)[0].(map[string]any)["reads"].([]any)[0].(map[string]any)["extra"] = 1
		g.Expect(schema.Validate(value)).NotTo(Succeed())
	}
}

// Guards against findings that are reported only after earlier ones were
// corrected.
func TestDecodeReportsAllFindingsInOnePass(t *testing.T) {
	g := NewWithT(t)
	_, list := manifest.Decode([]byte(`{"version": 2, "hosts": [
		{"name": "h", "address": "host:1", "availability_zone": "a", "capacity": 0},
		{"name": "h", "address": "10.0.0.1:1", "capacity": "big", "zone": "a"}],
		"pools": [
		{"name": "p", "database": "d", "user": "u", "endpoints": [
			{"name": "e", "address": "10.0.0.2:1", "availability_zone": "a", "slots": 3, "connections": 4},
			{"name": "e", "address": "10.0.0.2:1", "availability_zone": "a", "slots": 0, "connections": 9}],
		 "classes": [{"name": "c", "match": {"pattern": "("}, "deadline_ms": 0, "priority": 10}],
		 "reads": [{"name": "r", "max_staleness_ms": -1}, {"name": "s", "match": {"tag": "t"}}],
		 "writes": [{"name": "w", "confirm": "maybe"}]},
		{"name": "p", "endpoints": []}]}`))
	pointers := make([]string, len(list))
	for i, f := range list {
		pointers[i] = f.Pointer
	}
	g.Expect(pointers).To(ConsistOf("/version", "/deployment", "/hosts/0/address", "/hosts/0/capacity",
		"/hosts/1/name", "/hosts/1/availability_zone", "/hosts/1/capacity", "/hosts/1/zone",
		"/pools/0/endpoints/0/connections", "/pools/0/endpoints/1/name", "/pools/0/endpoints/1/address",
		"/pools/0/endpoints/1/slots", "/pools/0/classes/0/match/pattern", "/pools/0/classes/0/deadline_ms",
		"/pools/0/classes/0/priority", "/pools/0/reads/0/max_staleness_ms", "/pools/0/reads/1/match",
		"/pools/0/writes/0/confirm", "/pools/1/name", "/pools/1/database", "/pools/1/user", "/pools/1/endpoints"))
}

// Guards against a change of one pool that rewrites objects of other pools.
func TestSplitChangesOnlyThreeObjectsForOnePool(t *testing.T) {
	g := NewWithT(t)
	doc := loadExample(t, examples[0])
	_, before := manifest.Split(doc)
	doc.Pools[1].Endpoints[0].Leaving = true
	root, after := manifest.Split(doc)
	added := maps.Clone(after)
	maps.DeleteFunc(added, func(h string, _ []byte) bool { return before[h] != nil })
	g.Expect(added).To(HaveLen(3))
	g.Expect(added).To(HaveKey(root))

	joined, err := manifest.Join(root, mapGetter(after))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(joined).To(Equal(doc))
}

// Guards against accepting a manifest with corrupt or missing objects, and
// against a joiner that fetches objects again which it already has.
func TestJoinVerifiesHashesAndFetchesOnlyChanges(t *testing.T) {
	g := NewWithT(t)
	doc := loadExample(t, examples[1])
	root, objects := manifest.Split(doc)
	for _, h := range slices.Sorted(maps.Keys(objects)) {
		bad := maps.Clone(objects)
		bad[h] = append(slices.Clone(bad[h]), ' ')
		_, err := manifest.Join(root, mapGetter(bad))
		var oe *manifest.ObjectError
		g.Expect(err).To(BeAssignableToTypeOf(oe))
		delete(bad, h)
		_, err = manifest.Join(root, mapGetter(bad))
		g.Expect(err).To(BeAssignableToTypeOf(oe))
	}

	j := manifest.NewJoiner(1)
	_, err := j.Join(root, mapGetter(objects))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(j.ObjectHashes()).To(HaveLen(len(objects)))
	doc.Pools[0].Database = "other"
	root, objects = manifest.Split(doc)
	fetched := 0
	_, err = j.Join(root, func(h string) ([]byte, error) {
		fetched++
		return objects[h], nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(fetched).To(Equal(3))
}

// Guards against a pool that appears twice or in the wrong bucket: the owners
// of both copies would use the same connections.
func TestJoinRejectsPoolsInWrongBucket(t *testing.T) {
	g := NewWithT(t)
	doc := loadExample(t, examples[0])
	root, objects := manifest.Split(doc)
	for _, change := range []func(buckets []any) []any{
		func(b []any) []any { return append(b[1:], b[0]) },
		func(b []any) []any { return append(b, b...) },
	} {
		var r map[string]any
		g.Expect(json.Unmarshal(objects[root], &r)).To(Succeed())
		r["buckets"] = change(r["buckets"].([]any))
		body, err := json.Marshal(r)
		g.Expect(err).NotTo(HaveOccurred())
		objects[manifest.Hash(body)] = body
		_, err = manifest.Join(manifest.Hash(body), mapGetter(objects))
		g.Expect(manifest.IsInvalid(err)).To(BeTrue(), "%v", err)
	}
}

func mapGetter(objects map[string][]byte) manifest.ObjectGetter {
	return func(h string) ([]byte, error) {
		if b, ok := objects[h]; ok {
			return b, nil
		}
		return nil, os.ErrNotExist
	}
}

// Guards against changes that an operator does not see before an apply.
func TestDiffNamesHostsPoolsAndEndpoints(t *testing.T) {
	g := NewWithT(t)
	a, b := loadExample(t, examples[0]), loadExample(t, examples[0])
	g.Expect(manifest.Diff(a, b)).To(BeEmpty())
	b.Hosts = b.Hosts[1:]
	b.Pools[0].Endpoints[1].Slots = 4
	b.Pools[1].User = "u"
	b.Pools[2].Name = "members-lake"
	lines := make([]string, 0)
	for _, c := range manifest.Diff(a, b) {
		lines = append(lines, c.String())
	}
	g.Expect(lines).To(Equal([]string{
		"removed host entry-01",
		"changed endpoint members-hills/members-hills-2 slots: 3 -> 4",
		"added pool members-lake",
		`changed pool members-river user: "beryltrestle" -> "u"`,
		"removed pool members-valley",
	}))
}

// Guards against panics on malicious input, and against documents that change
// when they are encoded and decoded, or split and joined.
func FuzzDecode(f *testing.F) {
	for _, path := range examples {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"version":1,"deployment":"d","hosts":[{"name":"h","address":"[::1]:1","availability_zone":"a","capacity":1}],
		"pools":[{"name":"p","database":"d","user":"u","endpoints":[{"name":"e","address":"1.1.1.1:1",
		"availability_zone":"a","slots":1,"connections":3}],"reads":null,"writes":[]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, list := manifest.Decode(data)
		if len(list) > 0 {
			return
		}
		encoded, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, list := manifest.Decode(encoded)
		if len(list) > 0 || !reflect.DeepEqual(doc, again) {
			t.Fatalf("document changed: %v\n%+v\n%+v", list, doc, again)
		}
		root, objects := manifest.Split(doc)
		joined, err := manifest.Join(root, mapGetter(objects))
		if err != nil || len(manifest.Diff(doc, joined)) > 0 {
			t.Fatalf("split and join changed the document: %v", err)
		}
	})
}

// largeDocument returns a manifest of the size expected in two years: 5,500
// hosts and 6,800 pools.
func largeDocument(tb testing.TB) *manifest.Document {
	doc := loadExample(tb, examples[0])
	hosts, pools := doc.Hosts, doc.Pools
	doc.Hosts, doc.Pools = nil, nil
	for i := range 5500 {
		h := hosts[i%len(hosts)]
		h.Name = fmt.Sprintf("entry-%04d", i)
		h.Address = fmt.Sprintf("10.0.%d.%d:7430", i/250, i%250+1)
		doc.Hosts = append(doc.Hosts, h)
	}
	for i := range 6800 {
		p := pools[i%len(pools)]
		p.Name = fmt.Sprintf("members-%04d", i)
		doc.Pools = append(doc.Pools, p)
	}
	return doc
}

// Measures the cost of a change of one pool for a daemon; see docs/CAPACITY.md.
func BenchmarkJoinAfterChangeOfOnePool(b *testing.B) {
	doc := largeDocument(b)
	roots, objects := make([]string, 2), make([]map[string][]byte, 2)
	for i := range roots {
		doc.Pools[17].User = fmt.Sprint("user-", i)
		roots[i], objects[i] = manifest.Split(doc)
	}
	size := 0
	for _, body := range objects[0] {
		size += len(body)
	}
	changed := 0
	for h, body := range objects[1] {
		if objects[0][h] == nil {
			changed += len(body)
		}
	}
	j := manifest.NewJoiner(1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if _, err := j.Join(roots[n%2], mapGetter(objects[n%2])); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes/manifest")
	b.ReportMetric(float64(changed), "bytes/change")
}
