package manifeststore

import (
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// historyLength is the number of earlier applies in a root object. The outcome
// of an apply whose answer was lost can be found until that many applies have
// followed it.
const historyLength = 16

// Accepted is an accepted manifest with its record.
type Accepted struct {
	// Record is the record that accepted the manifest.
	Record platform.ManifestRecord
	// Document is nil if there is no manifest or it could not be read.
	Document *manifest.Document
	// History holds the manifests accepted before this one, newest first.
	History []manifest.Acceptance
	// objectHashes holds the hashes of the manifest's objects.
	objectHashes map[string]bool
}

// nextHistory returns the history for the next manifest.
func (a *Accepted) nextHistory() []manifest.Acceptance {
	if a.Record.Generation == 0 {
		return nil
	}
	last := manifest.Acceptance{Generation: a.Record.Generation, ApplyID: a.Record.ApplyID, Root: a.Record.Root}
	history := append([]manifest.Acceptance{last}, a.History...)
	return history[:min(len(history), historyLength)]
}

// findAcceptance returns the acceptance of a generation from this manifest or
// its history.
func (a *Accepted) findAcceptance(generation uint64) (manifest.Acceptance, bool) {
	for _, h := range a.nextHistory() {
		if h.Generation == generation {
			return h, true
		}
	}
	return manifest.Acceptance{}, false
}
