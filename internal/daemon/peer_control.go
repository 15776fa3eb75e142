package daemon

import (
	"context"

	"github.com/beryltrestle/beryltrestle/internal/control"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// peerControlHandler implements peer.ControlHandler with the control loop and
// the manifest syncer.
type peerControlHandler struct {
	*control.Loop
	syncer manifestSyncer
}

// FetchManifest implements peer.ControlHandler.
func (p peerControlHandler) FetchManifest(ctx context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return p.syncer.FetchManifest(ctx, req)
}

// ObserveGeneration implements peer.ControlHandler.
func (p peerControlHandler) ObserveGeneration(address string, generation uint64) {
	p.syncer.ObserveGeneration(address, generation)
}
