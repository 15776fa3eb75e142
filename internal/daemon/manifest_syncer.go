package daemon

import (
	"context"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/manifestsync"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// manifestSyncer keeps this daemon's manifest up to date; manifestsync.Syncer
// implements it.
type manifestSyncer interface {
	Run(ctx context.Context) error
	// ObserveGeneration records the generation that a peer applies.
	ObserveGeneration(address string, generation uint64)
	// SetHosts sets a new version of the platform's host list.
	SetHosts(hosts platform.HostListSnapshot)
	FetchManifest(ctx context.Context, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error)
}

func (d *Daemon) newManifestSyncer() manifestSyncer {
	s := d.cfg.Settings
	return manifestsync.New(manifestsync.Config{
		Name:      s.Name,
		Address:   s.PeerAddress,
		Store:     manifeststore.New(d.cfg.Table, d.cfg.Objects),
		Peers:     d.unaryClient,
		HostList:  d.cfg.HostList,
		Bootstrap: s.Peers,
		Publish:   d.loop.SetManifest,
		Metrics:   d.metrics,
		Log:       d.cfg.Log,
	})
}
