package manifestsync

import (
	"maps"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// maxDeltaSteps is the number of generations back for which a delta can be
// served. At 6,900 changes a day it covers an hour and three quarters, so that
// regions that lost contact for an hour send each other deltas. A step takes
// about 300 bytes.
const maxDeltaSteps = 512

// snapshot is a manifest with its objects. It does not change once it is
// published.
type snapshot struct {
	generation uint64
	root       string
	doc        *manifest.Document
	// objects holds all objects of the manifest by content hash.
	objects map[string][]byte
	// steps are the changes that led to this manifest, oldest first.
	steps []deltaStep
}

// deltaStep is the change from one generation that this daemon held to the next
// one that it held. Generations between the two may have been skipped.
type deltaStep struct {
	from uint64
	// added holds the hashes of the objects that the later generation added.
	added []string
}

// recordStep adds the step from the previous snapshot to the steps.
func (snap *snapshot) recordStep(previous *snapshot) {
	if previous == nil {
		return
	}
	s := deltaStep{from: previous.generation}
	for hash := range snap.objects {
		if _, ok := previous.objects[hash]; !ok {
			s.added = append(s.added, hash)
		}
	}
	first := max(0, len(previous.steps)+1-maxDeltaSteps)
	snap.steps = append(append([]deltaStep(nil), previous.steps[first:]...), s)
}

// delta returns the objects that a peer with generation since lacks, or all
// objects if the steps do not go back that far. If this daemon did not hold
// that generation, the delta starts from the one held before it. It may then
// lack an object that was removed and added again; the receiver fetches the
// whole manifest in that case.
func (snap *snapshot) delta(since uint64) map[string][]byte {
	for i := len(snap.steps) - 1; i >= 0; i-- {
		if snap.steps[i].from <= since {
			return snap.addedBy(snap.steps[i:])
		}
	}
	return maps.Clone(snap.objects)
}

// addedBy returns the objects that the steps added and that are still in use.
func (snap *snapshot) addedBy(steps []deltaStep) map[string][]byte {
	objects := make(map[string][]byte)
	for _, s := range steps {
		for _, hash := range s.added {
			if body, ok := snap.objects[hash]; ok {
				objects[hash] = body
			}
		}
	}
	return objects
}
