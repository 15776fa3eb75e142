package manifestsync

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// FetchManifest answers a peer with the latest manifest: with the objects that
// changed since the peer's generation if the recorded steps go back that far,
// otherwise with all objects.
func (s *Syncer) FetchManifest(_ context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	latest := s.latest.Load()
	if latest == nil {
		return &peerv1.FetchManifestResponse{}, nil
	}
	resp := &peerv1.FetchManifestResponse{Generation: latest.generation, Root: latest.root}
	if latest.generation > req.GetSinceGeneration() {
		resp.Objects = latest.delta(req.GetSinceGeneration())
	}
	return resp, nil
}
