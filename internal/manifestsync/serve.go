package manifestsync

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// FetchManifest answers a peer with the latest manifest: with the objects that
// changed since the peer's generation if this daemon can tell them, otherwise
// with all.
func (s *Syncer) FetchManifest(_ context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	h := s.latest.Load()
	if h == nil {
		return &peerv1.FetchManifestResponse{}, nil
	}
	resp := &peerv1.FetchManifestResponse{Generation: h.generation, Root: h.root}
	if h.generation > req.GetSinceGeneration() {
		resp.Objects = h.delta(req.GetSinceGeneration())
	}
	return resp, nil
}
