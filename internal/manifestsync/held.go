package manifestsync

import (
	"maps"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// maxSteps is the number of generations for which a delta can be served. At
// 6,900 changes a day it covers an hour and three quarters, so that regions that
// were out of contact for an hour send each other deltas. A step takes about 300
// bytes.
const maxSteps = 512

// held is a manifest with its objects. It is immutable.
type held struct {
	generation uint64
	root       string
	doc        *manifest.Document
	// objects holds all objects of the manifest by content hash.
	objects map[string][]byte
	// steps lead to this manifest, oldest first.
	steps []step
}

// step is the change from one generation that this daemon held to the next one
// that it held.
type step struct {
	from uint64
	// added are the hashes of the objects that the later one added.
	added []string
}

// after links the manifest to the one held before.
func (h *held) after(last *held) {
	if last == nil {
		return
	}
	s := step{from: last.generation}
	for hash := range h.objects {
		if _, ok := last.objects[hash]; !ok {
			s.added = append(s.added, hash)
		}
	}
	first := max(0, len(last.steps)+1-maxSteps)
	h.steps = append(append([]step(nil), last.steps[first:]...), s)
}

// delta returns the objects that a holder of generation since lacks; all of
// them if the steps do not go back that far. If this daemon did not hold that
// generation itself, the delta starts at the one it held before, and may lack an
// object that came back in between; the receiver then asks for everything.
func (h *held) delta(since uint64) map[string][]byte {
	for i := len(h.steps) - 1; i >= 0; i-- {
		if h.steps[i].from <= since {
			return h.addedFrom(h.steps[i:])
		}
	}
	return maps.Clone(h.objects)
}

// addedFrom returns the objects that the steps added and that are still in use.
func (h *held) addedFrom(steps []step) map[string][]byte {
	objects := make(map[string][]byte)
	for _, s := range steps {
		for _, hash := range s.added {
			if body, ok := h.objects[hash]; ok {
				objects[hash] = body
			}
		}
	}
	return objects
}
