package manifest

// Split returns the manifest as objects without a history; see SplitAfter.
func Split(doc *Document) (root string, objects map[string][]byte) {
	return SplitAfter(doc, nil)
}

// SplitAfter returns the manifest as objects by content hash, and the hash of the
// root object. A change of one pool changes its own object, its bucket and the
// root. The history of accepted manifests is kept in the root object, so that an
// apply whose answer was lost can be found even after later applies. The
// document must be valid.
func SplitAfter(doc *Document, history []Acceptance) (root string, objects map[string][]byte) {
	objects = make(map[string][]byte, len(doc.Pools)+Buckets)
	put := func(v any) string {
		body := encode(v)
		h := Hash(body)
		objects[h] = body
		return h
	}
	var buckets [Buckets]bucketObject
	for _, p := range doc.Pools {
		b := &buckets[bucketOf(p.Name)]
		if b.Pools == nil {
			b.Pools = make(map[string]string)
		}
		b.Pools[p.Name] = put(p)
	}
	r := rootObject{Version: doc.Version, Buckets: make([]string, Buckets), History: history}
	r.Shared = put(sharedObject{Deployment: doc.Deployment, Hosts: doc.Hosts})
	for i, b := range buckets {
		if len(b.Pools) > 0 {
			r.Buckets[i] = put(b)
		}
	}
	return put(r), objects
}
