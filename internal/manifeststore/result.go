package manifeststore

import "github.com/beryltrestle/beryltrestle/internal/manifest"

// Result of an apply that is done.
type Result struct {
	// Generation is the one that accepted the manifest.
	Generation uint64 `json:"generation"`
	// ApplyID identifies the apply; empty if Unchanged.
	ApplyID string `json:"apply_id,omitempty"`
	// Unchanged is true if the accepted manifest already was the wanted one;
	// nothing was written.
	Unchanged bool `json:"unchanged"`
	// Changes are the differences from the manifest before.
	Changes []manifest.Change `json:"changes"`
}
