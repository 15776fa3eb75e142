// Package manifeststore accepts and reads manifests through the platform's
// table and object store.
//
// A manifest is accepted by one conditional write of the table, after its
// objects were written. The write names the apply by a random ID, and the root
// object holds the IDs of earlier applies, so that an apply whose answer was
// lost is found again even if other applies followed it.
package manifeststore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// itemKey is the key of the table's item.
const itemKey = "manifest"

// parallelRequests is the number of object requests at once. The object store
// handles several hundred writes a second for all operators and daemons.
const parallelRequests = 8

// Store reads and applies manifests. It is safe for concurrent use.
type Store struct {
	table   platform.Table
	objects platform.ObjectStore
}

// New returns a store.
func New(table platform.Table, objects platform.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the accepted manifest's item, or platform.ErrNotFound if none
// was accepted yet.
func (s *Store) Head(ctx context.Context) (platform.ManifestRecord, error) {
	var item platform.ManifestRecord
	err := retryRead(ctx, func() (err error) {
		item, err = s.table.Get(ctx, itemKey)
		return err
	})
	return item, err
}

// Object returns an object. The content is not verified.
func (s *Store) Object(ctx context.Context, hash string) ([]byte, error) {
	var body []byte
	err := retryRead(ctx, func() (err error) {
		body, err = s.objects.Get(ctx, hash)
		return err
	})
	return body, err
}

// Load returns the accepted manifest, or ErrNoManifest. Content is verified by
// its hash. A missing object gives a *manifest.ObjectError that is also
// platform.ErrNotFound.
func (s *Store) Load(ctx context.Context) (*Accepted, error) {
	item, err := s.Head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrNoManifest
	}
	if err != nil {
		return nil, err
	}
	return s.load(ctx, item)
}

// load joins the manifest of an item.
func (s *Store) load(ctx context.Context, item platform.ManifestRecord) (*Accepted, error) {
	joiner := manifest.NewJoiner(parallelRequests)
	doc, err := joiner.Join(item.Root, func(hash string) ([]byte, error) { return s.Object(ctx, hash) })
	if err != nil {
		return nil, errors.Wrapf(err, "load manifest of generation %d", item.Generation)
	}
	return &Accepted{Item: item, Document: doc, History: joiner.History(), hashes: joiner.ObjectHashes()}, nil
}

// current returns the accepted manifest, or one of generation 0 if there is none.
// If an object of it is missing or damaged, the item is returned without the
// document, so that an apply can write the objects again. An object that this
// version cannot read is an error: a newer version may have written it.
func (s *Store) current(ctx context.Context) (*Accepted, error) {
	item, err := s.Head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return &Accepted{}, nil
	}
	if err != nil {
		return nil, err
	}
	accepted, err := s.load(ctx, item)
	if errors.Is(err, platform.ErrNotFound) || manifest.IsCorrupt(err) {
		return &Accepted{Item: item}, nil
	}
	return accepted, err
}
