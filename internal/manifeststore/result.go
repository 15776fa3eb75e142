package manifeststore

import "github.com/beryltrestle/beryltrestle/internal/manifest"

// Result is the result of a successful apply.
type Result struct {
	// Generation is the generation of the accepted manifest.
	Generation uint64 `json:"generation"`
	// ApplyID identifies the apply; empty if Unchanged.
	ApplyID string `json:"apply_id,omitempty"`
	// Unchanged is true if the accepted manifest already equals the document, so
	// that nothing was written.
	Unchanged bool `json:"unchanged"`
	// Changes are the differences from the previous manifest.
	Changes []manifest.Change `json:"changes"`
}
