package manifeststore

import (
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// historyLength is the number of earlier applies that a root object names. An
// apply whose answer was lost stays resolvable for so many later applies.
const historyLength = 16

// Accepted is an accepted manifest.
type Accepted struct {
	Item platform.ManifestRecord
	// Document is nil if there is none or it could not be read.
	Document *manifest.Document
	// History holds the manifests accepted before, newest first.
	History []manifest.Acceptance
	// hashes are the objects of the manifest.
	hashes map[string]bool
}

// nextHistory returns the history of the manifest that follows.
func (a *Accepted) nextHistory() []manifest.Acceptance {
	if a.Item.Generation == 0 {
		return nil
	}
	last := manifest.Acceptance{Generation: a.Item.Generation, ApplyID: a.Item.ApplyID, Root: a.Item.Root}
	history := append([]manifest.Acceptance{last}, a.History...)
	return history[:min(len(history), historyLength)]
}

// find returns the acceptance of a generation, current or earlier.
func (a *Accepted) find(generation uint64) (manifest.Acceptance, bool) {
	for _, h := range a.nextHistory() {
		if h.Generation == generation {
			return h, true
		}
	}
	return manifest.Acceptance{}, false
}
