package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

const (
	// minHostPollInterval is the shortest time between two requests for the host
	// list, which is only a hint for placement.
	minHostPollInterval = 10 * time.Second
	// hostPollDelayPerHost makes the interval grow with the list. A list of 5,500
	// hosts takes 0.6 MB and changes more often than it is read. Read every 220 s,
	// it costs 3 KB/s of a daemon's budget of 19 KB/s for control traffic, and all
	// daemons together make 25 requests a second.
	hostPollDelayPerHost = 40 * time.Millisecond
)

// hostPollTimeout is the time limit of one request for the host list.
const hostPollTimeout = 2 * time.Second

// watchHostList passes new versions of the platform's host list to the control
// loop and the manifest syncer. While the list is not available, they keep the
// last version.
func (d *Daemon) watchHostList(ctx context.Context) error {
	if d.cfg.HostList == nil {
		<-ctx.Done()
		return nil
	}
	var version uint64
	var listed int
	for {
		if hosts, ok := d.pollHostList(ctx, version); ok {
			version, listed = hosts.Version, len(hosts.Hosts)
			d.loop.SetHosts(hosts)
			d.manifestSyncer.SetHosts(hosts)
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

// hostPollDelay returns the time until the next request for a list of this many
// hosts. It has a jitter of a fifth, so that daemons that started together do
// not send their requests together.
func hostPollDelay(hosts int) time.Duration {
	d := max(minHostPollInterval, time.Duration(hosts)*hostPollDelayPerHost)
	return d*9/10 + rand.N(d/5)
}

func (d *Daemon) pollHostList(ctx context.Context, since uint64) (platform.HostListSnapshot, bool) {
	ctx, cancel := context.WithTimeout(ctx, hostPollTimeout)
	defer cancel()
	hosts, err := d.cfg.HostList.Hosts(ctx, since)
	return hosts, err == nil && hosts.Version > since
}
