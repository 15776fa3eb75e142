package manifestsync

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	doc "github.com/beryltrestle/beryltrestle/internal/manifest"
)

// errObjectMissing reports that a peer's answer lacks an object.
var errObjectMissing = errors.New("peer's answer lacks the object")

// errAlreadyHeld ends the reads from the store once a peer has delivered the
// manifest. Otherwise a zone of daemons that starts would use up the store's
// read capacity.
var errAlreadyHeld = errors.New("a peer has already delivered the manifest")

// fetchResult is the result of a fetch.
type fetchResult struct {
	// generation is the source's generation; 0 if it has no manifest.
	generation uint64
	// snapshot is the fetched manifest; nil if the source has no newer one.
	snapshot *snapshot
}

// fetch fetches the source's manifest if it is newer than the fetch's
// generation.
func (s *Syncer) fetch(ctx context.Context, f manifest.Fetch) (fetchResult, error) {
	if f.From == manifest.Store {
		return s.fetchStore(ctx, f.Since)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := s.fetchPeer(ctx, f.From.Peer, f.Since)
	if errors.Is(err, errObjectMissing) {
		// The delta starts from another manifest than the one held here.
		return s.fetchPeer(ctx, f.From.Peer, 0)
	}
	return r, err
}

// fetchPeer fetches from a peer.
func (s *Syncer) fetchPeer(ctx context.Context, address string, since uint64) (fetchResult, error) {
	resp, err := s.cfg.Peers.FetchManifest(ctx, address, &peerv1.FetchManifestRequest{SinceGeneration: since})
	if err != nil {
		return fetchResult{}, err
	}
	r := fetchResult{generation: resp.GetGeneration()}
	if r.generation <= s.latestGeneration() {
		return r, nil
	}
	s.cfg.Metrics.Inc(metrics.ManifestFetches)
	get := func(hash string) ([]byte, error) {
		if body, ok := resp.GetObjects()[hash]; ok {
			return body, nil
		}
		return nil, errObjectMissing
	}
	r.snapshot, err = s.peerAssembler.join(s.latest.Load(), r.generation, resp.GetRoot(), get)
	return r, s.recordRejection(err)
}

// fetchStore fetches from the platform's store. It does not read objects again
// that this daemon holds.
func (s *Syncer) fetchStore(ctx context.Context, since uint64) (fetchResult, error) {
	s.cfg.Metrics.Inc(metrics.ManifestStorePolls)
	record, err := s.readHead(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return fetchResult{}, nil
	}
	if err != nil {
		return fetchResult{}, err
	}
	r := fetchResult{generation: record.Generation}
	if record.Generation <= max(since, s.latestGeneration()) {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	get := func(hash string) ([]byte, error) {
		if s.latestGeneration() >= record.Generation {
			return nil, errAlreadyHeld
		}
		return s.cfg.Store.Object(ctx, hash)
	}
	// The store may be slow, and fetches from peers must not wait for it, so that
	// this fetch has its own assembler.
	a := assembler{joiner: doc.NewJoiner(parallelObjects)}
	r.snapshot, err = a.join(s.latest.Load(), r.generation, record.Root, get)
	if errors.Is(err, errAlreadyHeld) {
		return r, nil
	}
	return r, s.recordRejection(err)
}

// readHead reads the record of the accepted manifest.
func (s *Syncer) readHead(ctx context.Context) (platform.ManifestRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.cfg.Store.Head(ctx)
}

// storeTimeout returns the time limit for reading a manifest's objects.
func (s *Syncer) storeTimeout() time.Duration {
	if s.latest.Load() == nil {
		return firstStoreTimeout
	}
	return fetchTimeout
}

// latestGeneration returns the generation of the latest snapshot; 0 if there is
// none.
func (s *Syncer) latestGeneration() uint64 {
	if latest := s.latest.Load(); latest != nil {
		return latest.generation
	}
	return 0
}

// recordRejection counts and logs err if it reports corrupt or invalid content.
func (s *Syncer) recordRejection(err error) error {
	if doc.IsInvalid(err) {
		s.cfg.Metrics.Inc(metrics.ManifestRejected)
		s.cfg.Log.Warn().Err(err).Msg("fetched manifest rejected")
	}
	return err
}
