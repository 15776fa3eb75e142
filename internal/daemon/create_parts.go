package daemon

import (
	"context"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	"github.com/beryltrestle/beryltrestle/internal/owner"
	"github.com/beryltrestle/beryltrestle/internal/peer"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// createParts creates the parts of the daemon. None of them is running
// afterwards.
func (d *Daemon) createParts(incarnation uint64) error {
	s := d.cfg.Settings
	peerTLSConfig, err := peerTLS(s.TLS)
	if err != nil {
		return err
	}
	callerTLSConfig, err := callerTLS(s.TLS)
	if err != nil {
		return err
	}
	guard := recovery.NewGuard(d.metrics, d.cfg.Log)
	peerCfg := peer.Config{
		Address:           s.PeerAddress,
		TLS:               peerTLSConfig,
		Metrics:           d.metrics,
		Generation:        d.generation,
		ObserveGeneration: func(address string, generation uint64) { d.manifestSyncer.ObserveGeneration(address, generation) },
	}
	d.unaryClient = peer.NewUnaryClient(peerCfg)
	d.exchangeClient = peer.NewExchangeClient(peerCfg)
	d.loop = control.New(control.Config{
		Name:              s.Name,
		Address:           s.PeerAddress,
		AvailabilityZone:  s.AvailabilityZone,
		Incarnation:       incarnation,
		Seed:              d.cfg.Seed,
		GroupControl:      d.cfg.GroupControl,
		Peers:             d.unaryClient,
		Metrics:           d.metrics,
		Log:               d.cfg.Log,
		Drain:             func(ctx context.Context, pool string) { d.owner.WaitPoolIdle(ctx, pool) },
		ObserveGeneration: func(address string, generation uint64) { d.manifestSyncer.ObserveGeneration(address, generation) },
	})
	d.owner = owner.New(owner.Config{
		Incarnation:      incarnation,
		AvailabilityZone: s.AvailabilityZone,
		CrossZoneRTT:     crossZoneRTT,
		Controller:       d.loop,
		GroupControl:     d.cfg.GroupControl,
		Metrics:          d.metrics,
		Log:              d.cfg.Log,
		NewScheduler:     d.cfg.NewScheduler,
		PrimaryOnly:      d.cfg.PrimaryOnly,
	})
	d.entry = entry.New(entry.Config{
		Peers:            d.exchangeClient,
		Views:            d.loop,
		Metrics:          d.metrics,
		Guard:            guard,
		TLS:              callerTLSConfig,
		AvailabilityZone: s.AvailabilityZone,
		MaxMessageBytes:  s.Limits.MessageBytes,
		MaxCallers:       s.Limits.Callers,
	})
	d.manifestSyncer = d.newManifestSyncer()
	d.peerService = peer.NewService(peer.ServiceConfig{
		RequestHandler: d.owner,
		ControlHandler: peerControlHandler{d.loop, d.manifestSyncer},
		TLS:            peerTLSConfig,
		Metrics:        d.metrics,
		Guard:          guard,
		Generation:     d.generation,
	})
	d.admin = d.newAdmin()
	return nil
}

func (d *Daemon) generation() uint64 {
	if v := d.loop.View(); v != nil {
		return v.Generation
	}
	return 0
}
