package platform

import "context"

// ManifestRecord is the record that accepts a manifest.
type ManifestRecord struct {
	// Generation counts accepted manifests from 1.
	Generation uint64
	// ApplyID identifies the apply that wrote the item.
	ApplyID string
	// Root is the content hash of the manifest's root object.
	Root string
	// Operator is who applied it, for messages.
	Operator string
}

// Table is the transactional table service.
//
// Guarantees needed from the platform: PutIf is atomic and durable; Get is
// strongly consistent.
type Table interface {
	// Get returns the current item, or ErrNotFound.
	Get(ctx context.Context, key string) (ManifestRecord, error)
	// PutIf writes the item if the stored generation equals expected (0: no item
	// exists). It returns ErrConflict if not, and ErrUnknownOutcome if the answer
	// was lost.
	PutIf(ctx context.Context, key string, item ManifestRecord, expected uint64) error
}
