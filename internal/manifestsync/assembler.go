package manifestsync

import (
	"sync"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// parallelObjects is the number of object requests at once to the store.
const parallelObjects = 16

// assembler assembles fetched manifests, one at a time.
type assembler struct {
	mu     sync.Mutex
	joiner *manifest.Joiner
	// bodies holds the objects of the manifest that joiner joined last.
	bodies map[string][]byte
}

// join assembles and verifies a manifest from the objects held and those that
// fetch returns.
func (a *assembler) join(have *held, generation uint64, root string, fetch manifest.Getter) (*held, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := recorder{fetch: fetch, have: have, got: make(map[string][]byte)}
	doc, err := a.joiner.Join(root, seen.get)
	if err != nil {
		return nil, err
	}
	if err := a.joiner.CheckGeneration(generation); err != nil {
		return nil, err
	}
	h := &held{generation: generation, root: root, doc: doc, objects: make(map[string][]byte)}
	for hash := range a.joiner.References() {
		body, ok := seen.got[hash]
		if !ok {
			body = a.bodies[hash]
		}
		h.objects[hash] = body
	}
	a.bodies = h.objects
	return h, nil
}
