package daemon

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
)

// staticManifests puts one fixed manifest into force.
type staticManifests struct {
	doc     *manifest.Document
	publish func(generation uint64, doc *manifest.Document)
}

func (s staticManifests) Run(ctx context.Context) error {
	s.publish(1, s.doc)
	<-ctx.Done()
	return nil
}

func (s staticManifests) Observe(string, uint64) {}

func (s staticManifests) FetchManifest(context.Context, *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return &peerv1.FetchManifestResponse{}, nil
}

func (d *Daemon) newManifests() manifests {
	return staticManifests{doc: d.cfg.Manifest, publish: d.loop.SetManifest}
}
