package platform

import "context"

// ObjectStore stores immutable objects under their content hash.
//
// The platform must guarantee: An object for which Put returned nil can
// eventually be read by every host. Readers verify content by its hash, so that
// stale or corrupt reads are detected.
type ObjectStore interface {
	// Put stores the object. It is idempotent.
	Put(ctx context.Context, key string, body []byte) error
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
}
