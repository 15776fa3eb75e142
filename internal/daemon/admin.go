package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/admin"
)

// errNoManifest is why a daemon without a manifest is not ready.
var errNoManifest = errors.New("no manifest is in force yet")

func (d *Daemon) newAdmin() *admin.Server {
	return admin.New(admin.Config{
		Metrics: d.metrics,
		Ready:   d.ready,
		Status:  func() any { return d.loop.View() },
	})
}

// ready returns nil once a manifest is in force.
func (d *Daemon) ready() error {
	if d.generation() == 0 {
		return errNoManifest
	}
	return nil
}

func (d *Daemon) serveAdmin(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.admin.Shutdown(context.Background()) })
	defer stop()
	return d.admin.Serve(d.listeners.Admin)
}
