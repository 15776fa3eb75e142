package platform

import "context"

// ObjectStore keeps immutable objects under their content hash.
//
// Guarantees needed from the platform: an object that Put returned nil for can
// be read by every host eventually; content is checked by its hash, so stale
// or damaged reads are found.
type ObjectStore interface {
	// Put stores the object. Repeating it is harmless.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}
