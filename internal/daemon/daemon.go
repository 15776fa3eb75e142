package daemon

import (
	"context"
	"encoding/binary"
	"time"

	crand "crypto/rand"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/admin"
	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/owner"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// zoneDelay is the round trip assumed to an endpoint in another zone.
const zoneDelay = 1500 * time.Microsecond

// leaveTimeout bounds the handover of all groups.
const leaveTimeout = 5 * time.Second

// Daemon is one daemon with both roles.
type Daemon struct {
	cfg       Config
	listeners *Listeners
	metrics   *metrics.Registry
	loop      *control.Loop
	owner     *owner.Owner
	gate      *entry.Server
	exchange  *peer.ExchangeClient
	calls     *peer.UnaryClient
	service   *peer.Service
	manifests manifests
	admin     *admin.Server
}

// New makes a daemon. Its listeners are open afterwards; nothing is served
// before Run.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg, metrics: metrics.NewRegistry()}
	incarnation, err := randomNumber()
	if err != nil {
		return nil, err
	}
	if d.cfg.Seed == 0 {
		d.cfg.Seed = incarnation
	}
	if d.cfg.NewScheduler == nil {
		d.cfg.NewScheduler = func() admission.Scheduler {
			return admission.NewScheduler(admission.Config{Seed: d.cfg.Seed})
		}
	}
	if d.listeners = cfg.Listeners; d.listeners == nil {
		if d.listeners, err = Listen(cfg.Settings); err != nil {
			return nil, err
		}
	}
	if err := d.assemble(incarnation); err != nil {
		d.listeners.Close()
		return nil, err
	}
	return d, nil
}

func randomNumber() (uint64, error) {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "draw an incarnation")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// Run serves until ctx ends or a part fails. Ending ctx stops at once; Drain
// first for a graceful stop.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, part := range d.parts() {
		g.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
	err := g.Run()
	d.close()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// parts are the actors of the run group; each returns when ctx ends.
func (d *Daemon) parts() []func(context.Context) error {
	return []func(context.Context) error{
		d.loop.Run,
		d.owner.Run,
		d.manifests.Run,
		d.watchHosts,
		func(ctx context.Context) error { return d.untilDone(ctx, d.gate.Serve(ctx, d.listeners.Caller)) },
		func(ctx context.Context) error { return d.untilDone(ctx, d.servePeers(ctx)) },
		func(ctx context.Context) error { return d.untilDone(ctx, d.serveAdmin(ctx)) },
	}
}

// untilDone keeps a part that ended cleanly, as in a drain, from ending the
// others.
func (d *Daemon) untilDone(ctx context.Context, err error) error {
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (d *Daemon) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.service.Close)
	defer stop()
	return d.service.Serve(d.listeners.Peer)
}

// Drain stops accepting callers, ends every request in flight and hands over the
// groups. It returns ctx's error if that took longer.
func (d *Daemon) Drain(ctx context.Context) error {
	d.cfg.Log.Info().Msg("draining")
	gate := make(chan error, 1)
	go func() { gate <- d.gate.Drain(ctx) }()
	err := d.owner.Drain(ctx)
	err = errors.CombineErrors(err, d.leave(ctx))
	err = errors.CombineErrors(err, <-gate)
	err = errors.CombineErrors(err, d.service.Drain(ctx))
	d.cfg.Log.Info().Err(err).Msg("drained")
	return err
}

// leave hands over the groups. A group that no other host accepts, as when the
// last host stops, is left to the next claim; no request is in flight by then.
func (d *Daemon) leave(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	err := d.loop.Leave(limited)
	if err != nil && ctx.Err() == nil {
		d.cfg.Log.Warn().Err(err).Msg("groups were not handed over")
		return nil
	}
	return err
}

func (d *Daemon) close() {
	d.exchange.Close()
	d.calls.Close()
	d.service.Close()
	d.listeners.Close()
}

// Metrics returns the daemon's counters.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }

// View returns the control state.
func (d *Daemon) View() *control.View { return d.loop.View() }

// Listeners returns the daemon's listeners.
func (d *Daemon) Listeners() *Listeners { return d.listeners }
