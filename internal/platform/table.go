package platform

import "context"

// ManifestRecord is the record whose write accepts a manifest.
type ManifestRecord struct {
	// Generation is the number of the manifest; the first one accepted has 1.
	Generation uint64
	// ApplyID identifies the apply that wrote the record.
	ApplyID string
	// Root is the content hash of the manifest's root object.
	Root string
	// Operator is the name of the operator who applied the manifest; it is only
	// displayed.
	Operator string
}

// Table is the transactional table service.
//
// The platform must guarantee that PutIf is atomic and durable and that Get is
// strongly consistent.
type Table interface {
	// Get returns the current record, or ErrNotFound.
	Get(ctx context.Context, key string) (ManifestRecord, error)
	// PutIf writes the record if the stored generation equals expected (0: there
	// is no record). Otherwise it returns ErrConflict; if the answer was lost it
	// returns ErrUnknownOutcome.
	PutIf(ctx context.Context, key string, record ManifestRecord, expected uint64) error
}
