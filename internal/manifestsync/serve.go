package manifestsync

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// FetchManifest answers a peer with the manifest held, or with the objects that
// changed since the generation the peer names if this daemon held that one.
func (s *Syncer) FetchManifest(_ context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	h := s.held.Load()
	if h == nil {
		return &peerv1.FetchManifestResponse{}, nil
	}
	resp := &peerv1.FetchManifestResponse{Generation: h.generation, Root: h.root}
	if h.generation > req.GetSinceGeneration() {
		resp.Objects = h.delta(req.GetSinceGeneration())
	}
	return resp, nil
}
