package localdeploy

import (
	"context"
	"fmt"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/daemon"
	"github.com/beryltrestle/beryltrestle/internal/settings"
)

// hostCapacity is the weight of each host.
const hostCapacity = 100

// Host is one daemon of a deployment.
type Host struct {
	Name      string
	d         *Deployment
	zone      string
	settings  *settings.Settings
	listeners *daemon.Listeners

	// daemon is nil while the host is stopped.
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
}

// newHost opens the listeners, so that the addresses are known for the manifest.
func newHost(d *Deployment, i int) (*Host, error) {
	s := settings.Default()
	s.Name = fmt.Sprintf("host-%02d", i)
	s.AvailabilityZone = d.zone(i)
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
	return &Host{Name: s.Name, d: d, zone: s.AvailabilityZone, settings: s, listeners: ln}, nil
}

// Start starts the daemon, also again after Kill or Drain.
func (h *Host) Start() error {
	cfg := daemon.Config{
		Settings:     h.settings,
		Log:          h.d.cfg.Log.With().Str("host", h.Name).Logger(),
		NewScheduler: h.d.cfg.NewScheduler,
		PrimaryOnly:  h.d.cfg.PrimaryOnly,
		Listeners:    h.listeners,
	}
	h.listeners = nil
	if err := cfg.OpenStores(); err != nil {
		return err
	}
	dm, err := daemon.New(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.daemon, h.cancel, h.done = dm, cancel, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		if err := dm.Run(ctx); err != nil {
			cfg.Log.Error().Err(err).Msg("daemon ended")
		}
	}(h.done)
	return nil
}

// Kill stops the daemon at once, without a drain.
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

// Drain stops the daemon gracefully.
func (h *Host) Drain(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	err := h.daemon.Drain(ctx)
	h.Kill()
	return err
}

// Running reports whether the daemon runs.
func (h *Host) Running() bool { return h.daemon != nil }

// CallerAddress is where callers connect.
func (h *Host) CallerAddress() string { return h.settings.CallerListen }

// PeerAddress is where other daemons connect.
func (h *Host) PeerAddress() string { return h.settings.PeerAddress }

// AdminAddress is the address of the admin server.
func (h *Host) AdminAddress() string { return h.settings.AdminListen }

// Daemon returns the running daemon, nil if stopped.
func (h *Host) Daemon() *daemon.Daemon { return h.daemon }

// Group returns the daemon's view of a pool.
func (h *Host) Group(pool string) (control.GroupView, bool) {
	if h.daemon == nil {
		return control.GroupView{}, false
	}
	v := h.daemon.View()
	if v == nil {
		return control.GroupView{}, false
	}
	return v.Groups.Get(pool)
}
