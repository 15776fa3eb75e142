package daemon

import (
	"context"

	"github.com/beryltrestle/beryltrestle/internal/control"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// peerControl answers the control calls of other daemons. It joins the control
// loop and the manifest syncer to a peer.ControlHandler.
type peerControl struct {
	*control.Loop
	manifests manifests
}

// FetchManifest implements peer.ControlHandler.
func (p peerControl) FetchManifest(ctx context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return p.manifests.FetchManifest(ctx, req)
}

// ObserveGeneration implements peer.ControlHandler.
func (p peerControl) ObserveGeneration(address string, generation uint64) {
	p.manifests.ObserveGeneration(address, generation)
}
