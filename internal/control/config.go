package control

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Config configures a Loop. Functions may be nil.
type Config struct {
	// Name is the host's name in the manifest.
	Name string
	// Address is the daemon's own peer address, as in the manifest.
	Address          string
	AvailabilityZone string
	Incarnation      uint64
	// Seed determines all random choices of the loop.
	Seed         uint64
	GroupControl platform.GroupControl
	Peers        Peers
	Metrics      *metrics.Registry
	Log          zerolog.Logger
	// Drain waits until the pool's requests in flight have ended or ctx ends.
	// Meanwhile GroupView.InTransition is set, so that traffic holds new requests
	// back.
	Drain func(ctx context.Context, pool string)
	// ObserveGeneration is called with each manifest generation that a peer names
	// in a heartbeat or in the answer to one. It must not block.
	ObserveGeneration func(address string, generation uint64)
	// LoadPercent returns the share of the daemon's capacity that is in use.
	LoadPercent func() uint32
}
