package manifestsync

import (
	"context"

	"github.com/rs/zerolog"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Peers fetches manifests from other daemons.
type Peers interface {
	FetchManifest(ctx context.Context, address string, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error)
}

// Store reads the accepted manifest; see manifeststore.Store.
type Store interface {
	// Head returns the record of the accepted manifest, or platform.ErrNotFound.
	Head(ctx context.Context) (platform.ManifestRecord, error)
	// Object returns an object. It must be safe for concurrent use.
	Object(ctx context.Context, hash string) ([]byte, error)
}

// Config configures a Syncer.
type Config struct {
	// Name is this host's name in the manifest and the host list.
	Name string
	// Address is this daemon's peer address.
	Address string
	Store   Store
	Peers   Peers
	// HostList provides peers before the first manifest; nil if there is no host
	// list.
	HostList platform.HostList
	// Bootstrap holds peer addresses to contact before the first manifest.
	Bootstrap []string
	// Publish is called from one goroutine with increasing generations. It must
	// not block for long and must not change the document.
	Publish func(generation uint64, doc *manifest.Document)
	Metrics *metrics.Registry
	Log     zerolog.Logger
}
