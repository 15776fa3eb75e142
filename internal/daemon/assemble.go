package daemon

import (
	"context"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	"github.com/beryltrestle/beryltrestle/internal/owner"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// assemble makes the parts; none runs yet.
func (d *Daemon) assemble(incarnation uint64) error {
	s := d.cfg.Settings
	peers, err := peerTLS(s.TLS)
	if err != nil {
		return err
	}
	callers, err := callerTLS(s.TLS)
	if err != nil {
		return err
	}
	peerCfg := peer.Config{
		Address:           s.PeerAddress,
		TLS:               peers,
		Metrics:           d.metrics,
		Generation:        d.generation,
		ObserveGeneration: func(address string, generation uint64) { d.manifests.ObserveGeneration(address, generation) },
	}
	d.calls = peer.NewUnaryClient(peerCfg)
	d.exchange = peer.NewExchangeClient(peerCfg)
	d.loop = control.New(control.Config{
		Name:              s.Name,
		Address:           s.PeerAddress,
		AvailabilityZone:  s.AvailabilityZone,
		Incarnation:       incarnation,
		Seed:              d.cfg.Seed,
		GroupControl:      d.cfg.GroupControl,
		Peers:             d.calls,
		Metrics:           d.metrics,
		Log:               d.cfg.Log,
		Drain:             func(ctx context.Context, pool string) { d.owner.WaitPoolIdle(ctx, pool) },
		ObserveGeneration: func(address string, generation uint64) { d.manifests.ObserveGeneration(address, generation) },
	})
	d.owner = owner.New(owner.Config{
		Incarnation:      incarnation,
		AvailabilityZone: s.AvailabilityZone,
		CrossZoneRTT:     zoneDelay,
		Controller:       d.loop,
		GroupControl:     d.cfg.GroupControl,
		Metrics:          d.metrics,
		Log:              d.cfg.Log,
		NewScheduler:     d.cfg.NewScheduler,
		PrimaryOnly:      d.cfg.PrimaryOnly,
	})
	d.gate = entry.New(entry.Config{
		Peers:            d.exchange,
		Views:            d.loop,
		Metrics:          d.metrics,
		TLS:              callers,
		AvailabilityZone: s.AvailabilityZone,
		MaxMessageBytes:  s.Limits.MessageBytes,
		MaxCallers:       s.Limits.Callers,
	})
	d.manifests = d.newManifests()
	d.service = peer.NewService(peer.ServiceConfig{
		RequestHandler: d.owner,
		ControlHandler: peerControl{d.loop, d.manifests},
		TLS:            peers,
		Metrics:        d.metrics,
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
