package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const (
	// hostPollInterval is the shortest time between two requests for a newer version
	// of the host list, which is only a hint for placement.
	hostPollInterval = 10 * time.Second
	// hostPollPerHost makes the time grow with the list. A list of 5,500 hosts takes
	// 0.6 MB and changes more often than it is read; read every 220 s, it costs
	// 3 KB/s of the 19 KB/s that a daemon may use for control, and all daemons
	// together make 25 requests a second.
	hostPollPerHost = 40 * time.Millisecond
)

// hostPollTimeout bounds one request for the host list.
const hostPollTimeout = 2 * time.Second

// watchHosts passes new versions of the platform's host list to the control
// loop. While the list is not available the last version stays in use.
func (d *Daemon) watchHosts(ctx context.Context) error {
	if d.cfg.HostList == nil {
		<-ctx.Done()
		return nil
	}
	var version uint64
	var listed int
	for {
		if hosts, ok := d.pollHosts(ctx, version); ok {
			version, listed = hosts.Version, len(hosts.Hosts)
			d.loop.SetHosts(hosts)
			d.manifests.SetHosts(hosts)
		}
		timer := time.NewTimer(hostPollDelay(listed))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}

// hostPollDelay returns the time to the next request for a list of this many
// hosts. It varies by a fifth, so that daemons that started together do not ask
// together.
func hostPollDelay(hosts int) time.Duration {
	d := max(hostPollInterval, time.Duration(hosts)*hostPollPerHost)
	return d*9/10 + rand.N(d/5)
}

func (d *Daemon) pollHosts(ctx context.Context, since uint64) (platform.HostListSnapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, hostPollTimeout)
	defer cancel()
	hosts, err := d.cfg.HostList.Hosts(ctx, since)
	return hosts, err == nil && hosts.Version > since
}
