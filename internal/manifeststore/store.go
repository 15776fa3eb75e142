// Package manifeststore accepts and reads manifests through the platform's
// table and object store.
//
// An apply writes the objects of the manifest first and then accepts it by one
// conditional write of the record in the table. The record holds a random apply
// ID, and the root object holds the IDs of earlier applies. An apply whose
// answer was lost can therefore be found even if other applies followed it.
package manifeststore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// recordKey is the table key of the manifest's record.
const recordKey = "manifest"

// parallelRequests is the number of concurrent object requests. The object
// store handles several hundred writes a second for all operators and daemons.
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

// Head returns the record of the accepted manifest, or platform.ErrNotFound if
// no manifest was accepted yet.
func (s *Store) Head(ctx context.Context) (platform.ManifestRecord, error) {
	var record platform.ManifestRecord
	err := retryRead(ctx, func() (err error) {
		record, err = s.table.Get(ctx, recordKey)
		return err
	})
	return record, err
}

// Object returns an object without verifying its content.
func (s *Store) Object(ctx context.Context, hash string) ([]byte, error) {
	var body []byte
	err := retryRead(ctx, func() (err error) {
		body, err = s.objects.Get(ctx, hash)
		return err
	})
	return body, err
}

// Load returns the accepted manifest, or ErrNoManifest. It verifies each object
// by its hash. If an object is missing, it returns a *manifest.ObjectError that
// wraps platform.ErrNotFound.
func (s *Store) Load(ctx context.Context) (*Accepted, error) {
	record, err := s.Head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, ErrNoManifest
	}
	if err != nil {
		return nil, err
	}
	return s.loadRecord(ctx, record)
}

// loadRecord reads and assembles the manifest of a record.
func (s *Store) loadRecord(ctx context.Context, record platform.ManifestRecord) (*Accepted, error) {
	joiner := manifest.NewJoiner(parallelRequests)
	doc, err := joiner.Join(record.Root, func(hash string) ([]byte, error) { return s.Object(ctx, hash) })
	if err != nil {
		return nil, errors.Wrapf(err, "load manifest of generation %d", record.Generation)
	}
	return &Accepted{Record: record, Document: doc, History: joiner.History(), objectHashes: joiner.ObjectHashes()}, nil
}

// loadOrEmpty returns the accepted manifest, or an empty one of generation 0 if
// there is none. If an object is missing or corrupt, it returns the record
// without a document, so that an apply can write the objects again. An object
// that this version cannot read is an error, since a newer version may have
// written it.
func (s *Store) loadOrEmpty(ctx context.Context) (*Accepted, error) {
	record, err := s.Head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return &Accepted{}, nil
	}
	if err != nil {
		return nil, err
	}
	accepted, err := s.loadRecord(ctx, record)
	if errors.Is(err, platform.ErrNotFound) || manifest.IsCorrupt(err) {
		return &Accepted{Record: record}, nil
	}
	return accepted, err
}
