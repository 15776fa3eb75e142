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

// errNoObject reports that a peer's answer lacks an object.
var errNoObject = errors.New("object is not in the answer")

// errHeld ends the reads of a manifest that a peer has delivered meanwhile, so
// that a zone of daemons that starts does not use up the store's reads.
var errHeld = errors.New("manifest is held already")

// result of a fetch.
type result struct {
	// generation of the source; 0 if it has no manifest.
	generation uint64
	// held is set if generation is above the one that was asked for.
	held *held
}

// fetch gets what the source has above the generation.
func (s *Syncer) fetch(ctx context.Context, f manifest.Fetch) (result, error) {
	if f.From == manifest.Store {
		return s.fetchStore(ctx, f.Since)
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := s.fetchPeer(ctx, f.From.Peer, f.Since)
	if errors.Is(err, errNoObject) {
		// The peer's delta leads from another manifest than the one held.
		return s.fetchPeer(ctx, f.From.Peer, 0)
	}
	return r, err
}

// fetchPeer fetches from a peer.
func (s *Syncer) fetchPeer(ctx context.Context, address string, since uint64) (result, error) {
	resp, err := s.cfg.Peers.FetchManifest(ctx, address, &peerv1.FetchManifestRequest{SinceGeneration: since})
	if err != nil {
		return result{}, err
	}
	r := result{generation: resp.GetGeneration()}
	if r.generation <= s.generation() {
		return r, nil
	}
	s.cfg.Metrics.Inc(metrics.ManifestFetches)
	get := func(hash string) ([]byte, error) {
		if body, ok := resp.GetObjects()[hash]; ok {
			return body, nil
		}
		return nil, errNoObject
	}
	r.held, err = s.fromPeers.join(s.held.Load(), r.generation, resp.GetRoot(), get)
	return r, s.rejected(err)
}

// fetchStore fetches from the platform's store. Objects that are held are not
// read again.
func (s *Syncer) fetchStore(ctx context.Context, since uint64) (result, error) {
	s.cfg.Metrics.Inc(metrics.ManifestStorePolls)
	item, err := s.head(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return result{}, nil
	}
	if err != nil {
		return result{}, err
	}
	r := result{generation: item.Generation}
	if item.Generation <= max(since, s.generation()) {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, s.storeTimeout())
	defer cancel()
	get := func(hash string) ([]byte, error) {
		if s.generation() >= item.Generation {
			return nil, errHeld
		}
		return s.cfg.Store.Object(ctx, hash)
	}
	// A joiner of its own: the store may be slow, and fetches from peers must not
	// wait for it.
	a := assembler{joiner: doc.NewJoiner(parallelObjects)}
	r.held, err = a.join(s.held.Load(), r.generation, item.Root, get)
	if errors.Is(err, errHeld) {
		return r, nil
	}
	return r, s.rejected(err)
}

// head reads the item of the accepted manifest.
func (s *Syncer) head(ctx context.Context) (platform.ManifestRecord, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.cfg.Store.Head(ctx)
}

// storeTimeout bounds the reads of a manifest's objects.
func (s *Syncer) storeTimeout() time.Duration {
	if s.held.Load() == nil {
		return firstStoreTimeout
	}
	return fetchTimeout
}

// generation returns the generation held.
func (s *Syncer) generation() uint64 {
	if h := s.held.Load(); h != nil {
		return h.generation
	}
	return 0
}

// rejected counts manifests whose content is damaged or not valid.
func (s *Syncer) rejected(err error) error {
	if doc.IsInvalid(err) {
		s.cfg.Metrics.Inc(metrics.ManifestRejected)
		s.cfg.Log.Warn().Err(err).Msg("fetched manifest rejected")
	}
	return err
}
