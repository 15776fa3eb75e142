// Package daemon assembles the parts of one daemon and runs them under
// oklog/run.
package daemon

import (
	"net"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/settings"
)

// Config is what a daemon is made from.
type Config struct {
	Settings     *settings.Settings
	Table        platform.Table
	Objects      platform.ObjectStore
	HostList     platform.HostList
	GroupControl platform.GroupControl
	Log          zerolog.Logger
	// NewScheduler makes the admission policy of a group; nil means the current one.
	NewScheduler func() admission.Scheduler
	// PrimaryOnly sends all reads to the primary, for measurements.
	PrimaryOnly bool
	// Seed determines the daemon's random choices; 0 draws one.
	Seed uint64
	// Listeners replace the listen addresses of the settings, for tests.
	Listeners *Listeners
}

// Listeners are the open listeners of a daemon.
type Listeners struct {
	Caller net.Listener
	Peer   net.Listener
	Admin  net.Listener
}

// Listen opens the listeners that the settings name.
func Listen(s *settings.Settings) (*Listeners, error) {
	var l Listeners
	for _, item := range []struct {
		at  *net.Listener
		add string
	}{{&l.Caller, s.CallerListen}, {&l.Peer, s.PeerListen}, {&l.Admin, s.AdminListen}} {
		ln, err := net.Listen("tcp", item.add)
		if err != nil {
			l.Close()
			return nil, err
		}
		*item.at = ln
	}
	return &l, nil
}

// Close closes the listeners that are open.
func (l *Listeners) Close() {
	for _, ln := range []net.Listener{l.Caller, l.Peer, l.Admin} {
		if ln != nil {
			ln.Close()
		}
	}
}
