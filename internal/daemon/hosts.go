package daemon

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// hostPollInterval is how often the host list is asked for a newer version. The
// list is only a hint for placement; 5,500 daemons make 550 requests a second.
const hostPollInterval = 10 * time.Second

// hostPollTimeout bounds one request for the host list.
const hostPollTimeout = 2 * time.Second

// watchHosts passes new versions of the platform's host list to the control
// loop. While the list is not available the last version stays in use.
func (d *Daemon) watchHosts(ctx context.Context) error {
	if d.cfg.Hosts == nil {
		<-ctx.Done()
		return nil
	}
	tick := time.NewTicker(hostPollInterval)
	defer tick.Stop()
	var version uint64
	for {
		if hosts, ok := d.pollHosts(ctx, version); ok {
			version = hosts.Version
			d.loop.SetHosts(hosts)
			d.manifests.SetHosts(hosts)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (d *Daemon) pollHosts(ctx context.Context, since uint64) (platform.Hosts, bool) {
	ctx, cancel := context.WithTimeout(ctx, hostPollTimeout)
	defer cancel()
	hosts, err := d.cfg.Hosts.Hosts(ctx, since)
	return hosts, err == nil && hosts.Version > since
}
