package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// shortestFault and longestFault bound how long a fault lasts: from less than the
	// time in which an unresponsive primary is detected to more than the time for which
	// a permission to use primaries is valid.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	// meanFaultGap is the mean time between the starts of two faults, which may overlap.
	meanFaultGap = 1200 * time.Millisecond
	// restartDelay is the time before a process that ended is started again.
	restartDelay = 300 * time.Millisecond
)

// fault is one kind of fault.
type fault struct {
	name string
	// inject starts the fault and returns when the fault is over.
	inject func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration)
}

// faults lists the kinds of faults, which are equally likely.
var faults = []fault{
	{"stop a host gracefully", func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		h := r.randomHost(random)
		if h.stop(ctx) && ctx.Err() == nil {
			r.recorder.addViolation("DRAIN: %s did not exit within its grace period", h.name)
		}
		wait.Sleep(ctx, restartDelay)
		r.restart(h)
	}},
	{"kill a host", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		h := r.randomHost(random)
		h.kill()
		wait.Sleep(ctx, duration/4)
		r.restart(h)
	}},
	{"kill most hosts at once", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		for _, h := range r.hosts {
			if random.IntN(4) > 0 {
				h.signal(syscall.SIGKILL)
			}
		}
		wait.Sleep(ctx, duration/4)
		for _, h := range r.hosts {
			r.restart(h)
		}
	}},
	{"pause a host", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		h := r.randomHost(random)
		h.signal(syscall.SIGSTOP)
		wait.Sleep(ctx, duration)
		h.signal(syscall.SIGCONT)
	}},
	{"make a host reload its settings", func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.randomHost(random).signal(syscall.SIGHUP)
	}},
	{"store fails for some hosts", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaultCount)-1))
		for _, h := range r.hosts {
			if random.IntN(2) == 0 {
				r.store.setFault(h.name, f)
				defer r.store.setFault(h.name, storeHealthy)
			}
		}
		wait.Sleep(ctx, duration)
	}},
	{"store fails for all hosts", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaultCount)-1))
		for _, h := range r.hosts {
			r.store.setFault(h.name, f)
			defer r.store.setFault(h.name, storeHealthy)
		}
		wait.Sleep(ctx, duration)
	}},
	{"impair the path to an endpoint", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		p := r.proxies[random.IntN(len(r.proxies))]
		p.setFault(pathFault(1 + random.IntN(int(pathFaultCount)-1)))
		wait.Sleep(ctx, duration)
		p.setFault(pathHealthy)
	}},
	{"reset connections to an endpoint", func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.proxies[random.IntN(len(r.proxies))].reset()
	}},
	{"crash the primary", func(ctx context.Context, r *runner, _ *rand.Rand, duration time.Duration) {
		r.group.mu.Lock()
		e := r.group.currentPrimary()
		r.group.mu.Unlock()
		if e == nil {
			return
		}
		r.group.crash(e)
		wait.Sleep(ctx, duration)
		r.group.restart(e)
	}},
	{"stop replication to an endpoint", func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		e := r.group.endpoints[random.IntN(len(r.group.endpoints))]
		setStopped := func(stopped bool) {
			r.group.mu.Lock()
			defer r.group.mu.Unlock()
			e.replicationStopped = stopped
		}
		setStopped(true)
		wait.Sleep(ctx, duration)
		setStopped(false)
	}},
	{"change the configuration", func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.writeConfig(700 + random.IntN(600))
	}},
}

// injectFaults starts random faults, which may overlap, until ctx ends. It returns when
// the last fault is over.
func (r *runner) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		duration := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		gap := time.Duration(random.Int64N(int64(2 * meanFaultGap)))
		r.log.Info().Str("fault", f.name).Dur("lasts_ms", duration).Msg("fault begins")
		r.activeFaults.Go(func() { f.inject(ctx, r, faultRandom, duration) })
		wait.Sleep(ctx, gap)
	}
	r.activeFaults.Wait()
}
