package localdeploy

import (
	"context"
	"fmt"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/daemon"
	"github.com/beryltrestle/beryltrestle/internal/settings"
)

// hostCapacity is the capacity of each host in the manifest and the host list.
const hostCapacity = 100

// Host is a host of the deployment with its daemon.
type Host struct {
	Name       string
	deployment *Deployment
	zone       string
	settings   *settings.Settings
	listeners  *daemon.Listeners

	// daemon is nil while the host is stopped.
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
}

// newHost creates host i without starting its daemon. It opens the listeners, because
// the manifest needs their addresses.
func newHost(d *Deployment, i int) (*Host, error) {
	s := settings.Default()
	s.Name = fmt.Sprintf("host-%02d", i)
	s.AvailabilityZone = d.zoneFor(i)
	s.CallerListen, s.PeerListen, s.AdminListen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.TLS = d.cfg.TLS
	s.Platform.TableEndpoint = d.Platform.URL()
	s.Platform.ObjectEndpoint = d.Platform.URL()
	s.Platform.HostListEndpoint = d.Platform.HostListURL()
	s.Platform.AccessKeyID = settings.Secret{File: d.keyFile}
	s.Platform.SecretAccessKey = settings.Secret{File: d.keyFile}
	ln, err := daemon.Listen(s)
	if err != nil {
		return nil, err
	}
	s.CallerListen = ln.Caller.Addr().String()
	s.PeerListen = ln.Peer.Addr().String()
	s.PeerAddress = s.PeerListen
	s.AdminListen = ln.Admin.Addr().String()
	return &Host{Name: s.Name, deployment: d, zone: s.AvailabilityZone, settings: s, listeners: ln}, nil
}

// Start starts the daemon. It may be called again after Kill or Drain.
func (h *Host) Start() error {
	cfg := daemon.Config{
		Settings:     h.settings,
		Log:          h.deployment.cfg.Log.With().Str("host", h.Name).Logger(),
		NewScheduler: h.deployment.cfg.NewScheduler,
		PrimaryOnly:  h.deployment.cfg.PrimaryOnly,
		Listeners:    h.listeners,
	}
	h.listeners = nil
	if err := cfg.OpenStores(); err != nil {
		return err
	}
	d, err := daemon.New(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.daemon, h.cancel, h.done = d, cancel, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			cfg.Log.Error().Err(err).Msg("daemon stopped with an error")
		}
	}(h.done)
	return nil
}

// Kill stops the daemon immediately, without a drain.
func (h *Host) Kill() {
	if h.daemon == nil {
		if h.listeners != nil {
			h.listeners.Close()
		}
		return
	}
	h.cancel()
	<-h.done
	h.daemon = nil
}

// Drain lets the daemon finish its requests, for at most the timeout, and stops it.
func (h *Host) Drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := h.daemon.Drain(ctx)
	h.Kill()
	return err
}

// Running reports whether the daemon runs.
func (h *Host) Running() bool { return h.daemon != nil }

// CallerAddress returns the address that callers connect to.
func (h *Host) CallerAddress() string { return h.settings.CallerListen }

// PeerAddress returns the address that other daemons connect to.
func (h *Host) PeerAddress() string { return h.settings.PeerAddress }

// AdminAddress returns the address of the admin server.
func (h *Host) AdminAddress() string { return h.settings.AdminListen }

// Daemon returns the running daemon, or nil if it is stopped.
func (h *Host) Daemon() *daemon.Daemon { return h.daemon }

// GroupView returns the daemon's view of the pool's group. It returns false if the
// daemon is stopped or does not know the pool.
func (h *Host) GroupView(pool string) (control.GroupView, bool) {
	if h.daemon == nil {
		return control.GroupView{}, false
	}
	v := h.daemon.View()
	if v == nil {
		return control.GroupView{}, false
	}
	return v.Groups.Get(pool)
}
