// Package daemon assembles the parts of one daemon and runs them as an
// oklog/run group.
package daemon

import (
	"net"

	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/settings"
)

// Config configures a Daemon.
type Config struct {
	Settings     *settings.Settings
	Table        platform.Table
	Objects      platform.ObjectStore
	HostList     platform.HostList
	GroupControl platform.GroupControl
	Log          zerolog.Logger
	// NewScheduler returns the admission policy of a group; nil selects the
	// current policy.
	NewScheduler func() admission.Scheduler
	// PrimaryOnly sends all reads to the primary. Measurements use it.
	PrimaryOnly bool
	// Seed determines the daemon's random choices; 0 selects a random seed.
	Seed uint64
	// Listeners replaces the listen addresses of the settings in tests.
	Listeners *Listeners
}

// Listeners are the open listeners of a daemon.
type Listeners struct {
	Caller net.Listener
	Peer   net.Listener
	Admin  net.Listener
}

// Listen opens the listeners for the addresses in the settings.
func Listen(s *settings.Settings) (*Listeners, error) {
	var opened Listeners
	for _, listener := range []struct {
		target  *net.Listener
		address string
	}{{&opened.Caller, s.CallerListen}, {&opened.Peer, s.PeerListen}, {&opened.Admin, s.AdminListen}} {
		ln, err := net.Listen("tcp", listener.address)
		if err != nil {
			opened.Close()
			return nil, err
		}
		*listener.target = ln
	}
	return &opened, nil
}

// Close closes the open listeners.
func (l *Listeners) Close() {
	for _, ln := range []net.Listener{l.Caller, l.Peer, l.Admin} {
		if ln != nil {
			ln.Close()
		}
	}
}
