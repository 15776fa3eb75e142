package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// longestHostGap bounds the time between two hosts of a series. It is shorter than a host needs to
// end, so that several may be down at once.
const longestHostGap = 600 * time.Millisecond

// longestUptime bounds the time between the start of a host and its end while it is restarted
// repeatedly: from less than it needs to get a permission to use primaries to more.
const longestUptime = 800 * time.Millisecond

// hostFaults lists the faults of several hosts, and of hosts that are replaced.
var hostFaults = []fault{
	{name: "stop and kill hosts in series", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.restartInSeries(ctx, random)
	}},
	{name: "replace a host by one at another address", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		if err := r.replaceHost(ctx, random); err != nil {
			r.log.Error().Err(err).Msg("host was not replaced")
		}
	}},
}

// restartInSeries stops or kills most hosts one after the other and starts each again as soon as
// its process has ended.
func (r *runner) restartInSeries(ctx context.Context, random *rand.Rand) {
	hosts := r.hostList()
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var ending sync.WaitGroup
	for _, h := range hosts[:1+random.IntN(len(hosts))] {
		kill := random.IntN(2) == 0
		ending.Go(func() {
			r.end(ctx, h, kill)
			r.restart(h)
		})
		wait.Sleep(ctx, upTo(random, longestHostGap))
	}
	ending.Wait()
}

// end kills a host or lets it end in the orderly way.
func (r *runner) end(ctx context.Context, h *host, kill bool) {
	if kill {
		h.kill()
		return
	}
	if h.stop(ctx) && ctx.Err() == nil {
		r.recorder.addViolation("DRAIN: %s did not exit within its grace period", h.name)
	}
}

// replaceHost ends a host and starts another one at another address, before or after the end of
// the first one's process. In half of the cases the other one has the same name, and then starts
// after it.
func (r *runner) replaceHost(ctx context.Context, random *rand.Rand) error {
	r.hostsMu.Lock()
	at := random.IntN(len(r.hosts))
	old := r.hosts[at]
	name, sameName := old.name, random.IntN(2) == 0
	if !sameName {
		name = fmt.Sprintf("host-%d", r.cfg.Hosts+r.replacedHosts)
		r.replacedHosts++
	}
	r.hostsMu.Unlock()
	kill := random.IntN(2) == 0
	if !old.replace() {
		return nil
	}
	next, err := r.newHost(name, old.zone)
	if err != nil {
		return err
	}
	var ending sync.WaitGroup
	ending.Go(func() { r.end(ctx, old, kill) })
	if sameName {
		ending.Wait()
	}
	err = next.start()
	r.hostsMu.Lock()
	r.hosts[at] = next
	r.hostsMu.Unlock()
	ending.Wait()
	return err
}

// restartRepeatedly stops or kills each of the hosts several times until ctx ends, and starts it
// again at once. In some of the cases the store fails for it at the same time.
func (r *runner) restartRepeatedly(ctx context.Context, random *rand.Rand, hosts []*host) {
	for _, h := range hosts {
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		r.activeFaults.Go(func() {
			for ctx.Err() == nil {
				wait.Sleep(ctx, upTo(own, longestUptime))
				failing := own.IntN(3) == 0
				if failing {
					r.store.setFault(h.name, storeFault(1+own.IntN(int(storeFaultCount)-1)))
				}
				r.end(ctx, h, own.IntN(2) == 0)
				r.restart(h)
				if failing {
					wait.Sleep(ctx, upTo(own, 2*longestHostGap))
					r.store.setFault(h.name, storeHealthy)
				}
			}
		})
	}
}
