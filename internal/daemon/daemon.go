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

// crossZoneRTT is the assumed round-trip time to an endpoint in another zone.
const crossZoneRTT = 1500 * time.Microsecond

// handoverTimeout is the time limit for handing over all groups.
const handoverTimeout = 5 * time.Second

// Daemon is one daemon, with the roles entry and owner.
type Daemon struct {
	cfg            Config
	listeners      *Listeners
	metrics        *metrics.Registry
	loop           *control.Loop
	owner          *owner.Owner
	entry          *entry.Server
	exchangeClient *peer.ExchangeClient
	unaryClient    *peer.UnaryClient
	peerService    *peer.Service
	manifestSyncer manifestSyncer
	admin          *admin.Server
}

// New returns a daemon with open listeners. It serves nothing before Run.
func New(cfg Config) (*Daemon, error) {
	d := &Daemon{cfg: cfg, metrics: metrics.NewRegistry()}
	incarnation, err := randomIncarnation()
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
	if err := d.createParts(incarnation); err != nil {
		d.listeners.Close()
		return nil, err
	}
	return d, nil
}

// randomIncarnation returns a random number that identifies this run of the
// daemon.
func randomIncarnation() (uint64, error) {
	var b [8]byte
	if _, err := crand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "generate an incarnation")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

// Run serves until ctx ends or a part fails. The end of ctx stops everything at
// once; for a graceful stop call Drain first.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	for _, actor := range d.actors() {
		g.Add(func() error { return actor(ctx) }, func(error) { cancel() })
	}
	err := g.Run()
	d.close()
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// actors returns the actors of the run group. Each of them returns when ctx
// ends.
func (d *Daemon) actors() []func(context.Context) error {
	return []func(context.Context) error{
		d.loop.Run,
		d.owner.Run,
		d.manifestSyncer.Run,
		d.watchHostList,
		func(ctx context.Context) error { return d.waitDone(ctx, d.entry.Serve(ctx, d.listeners.Caller)) },
		func(ctx context.Context) error { return d.waitDone(ctx, d.servePeers(ctx)) },
		func(ctx context.Context) error { return d.waitDone(ctx, d.serveAdmin(ctx)) },
	}
}

// waitDone waits for the end of ctx if err is nil. A part that ended
// without an error, as in a drain, must not end the run group.
func (d *Daemon) waitDone(ctx context.Context, err error) error {
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (d *Daemon) servePeers(ctx context.Context) error {
	stop := context.AfterFunc(ctx, d.peerService.Close)
	defer stop()
	return d.peerService.Serve(d.listeners.Peer)
}

// Drain stops accepting callers, waits for the requests in flight and hands
// over the groups. It returns ctx's error if ctx ends first.
func (d *Daemon) Drain(ctx context.Context) error {
	d.cfg.Log.Info().Msg("draining")
	entryDrained := make(chan error, 1)
	go func() { entryDrained <- d.entry.Drain(ctx) }()
	err := d.owner.Drain(ctx)
	err = errors.CombineErrors(err, d.handOverGroups(ctx))
	err = errors.CombineErrors(err, <-entryDrained)
	err = errors.CombineErrors(err, d.peerService.Drain(ctx))
	d.cfg.Log.Info().Err(err).Msg("drained")
	return err
}

// handOverGroups hands over the groups. If no other daemon accepts a group, as
// when the last daemon stops, the group stays unowned until it is claimed; no
// request is in flight by then.
func (d *Daemon) handOverGroups(ctx context.Context) error {
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	err := d.loop.Leave(handoverCtx)
	if err != nil && ctx.Err() == nil {
		d.cfg.Log.Warn().Err(err).Msg("groups were not handed over")
		return nil
	}
	return err
}

func (d *Daemon) close() {
	d.exchangeClient.Close()
	d.unaryClient.Close()
	d.peerService.Close()
	d.listeners.Close()
}

// Metrics returns the daemon's metrics registry.
func (d *Daemon) Metrics() *metrics.Registry { return d.metrics }

// View returns the current control state.
func (d *Daemon) View() *control.View { return d.loop.View() }

// Listeners returns the daemon's listeners.
func (d *Daemon) Listeners() *Listeners { return d.listeners }
