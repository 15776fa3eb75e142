package manifest

// Split is SplitWithHistory without a history.
func Split(doc *Document) (root string, objects map[string][]byte) {
	return SplitWithHistory(doc, nil)
}

// SplitWithHistory returns the objects of the manifest by content hash, and the
// hash of the root object. A change of one pool changes the pool's object, its
// bucket and the root. The root object holds the history of accepted manifests,
// so that an apply whose answer was lost can be found even after later applies.
// The document must be valid.
func SplitWithHistory(doc *Document, history []Acceptance) (root string, objects map[string][]byte) {
	objects = make(map[string][]byte, len(doc.Pools)+BucketCount)
	put := func(v any) string {
		body := encode(v)
		h := Hash(body)
		objects[h] = body
		return h
	}
	var buckets [BucketCount]bucketObject
	for _, p := range doc.Pools {
		b := &buckets[bucketOf(p.Name)]
		if b.Pools == nil {
			b.Pools = make(map[string]string)
		}
		b.Pools[p.Name] = put(p)
	}
	r := rootObject{Version: doc.Version, Buckets: make([]string, BucketCount), History: history}
	r.Shared = put(sharedObject{Deployment: doc.Deployment, Hosts: doc.Hosts})
	for i, b := range buckets {
		if len(b.Pools) > 0 {
			r.Buckets[i] = put(b)
		}
	}
	return put(r), objects
}
