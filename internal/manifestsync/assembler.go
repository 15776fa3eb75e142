package manifestsync

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// parallelObjects is the number of concurrent object requests to the store.
const parallelObjects = 16

// assembler assembles fetched manifests, one at a time.
type assembler struct {
	mu     sync.Mutex
	joiner *manifest.Joiner
	// bodies holds the objects of the last manifest that joiner joined.
	bodies map[string][]byte
}

// join assembles and verifies a manifest from the objects of a known snapshot
// and those that fetch returns.
func (a *assembler) join(known *snapshot, generation uint64, root string, fetch manifest.ObjectGetter) (*snapshot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	recorder := objectRecorder{fetch: fetch, known: known, objects: make(map[string][]byte)}
	doc, err := a.joiner.Join(root, recorder.get)
	if err != nil {
		return nil, err
	}
	if err := a.joiner.CheckGeneration(generation); err != nil {
		return nil, err
	}
	snap := &snapshot{generation: generation, root: root, doc: doc, objects: make(map[string][]byte)}
	for hash := range a.joiner.ObjectHashes() {
		body, ok := recorder.objects[hash]
		if !ok {
			body = a.bodies[hash]
		}
		snap.objects[hash] = body
	}
	a.bodies = snap.objects
	return snap, nil
}
