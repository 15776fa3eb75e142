package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// shortestFault and longestFault bound how long a fault lasts: from below the time
	// in which a silent primary is noticed to above the time of a permission.
	shortestFault = 200 * time.Millisecond
	longestFault  = 4 * time.Second
	// meanFaultGap is the mean pause before the next fault begins; faults overlap.
	meanFaultGap = 1200 * time.Millisecond
	// restartDelay is the pause before an ended process is started again.
	restartDelay = 300 * time.Millisecond
)

// fault is one kind of fault. It returns when the fault is over.
type fault struct {
	name string
	do   func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration)
}

// faults lists the kinds, each as likely as the others.
var faults = []fault{
	{"stop a host in order", func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		h := r.anyHost(random)
		if h.stop(ctx) && ctx.Err() == nil {
			r.record.violation("DRAIN: %s did not end within its grace", h.name)
		}
		wait.Sleep(ctx, restartDelay)
		r.restart(h)
	}},
	{"kill a host", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		h := r.anyHost(random)
		h.kill()
		wait.Sleep(ctx, lasts/4)
		r.restart(h)
	}},
	{"kill most hosts at once", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		for _, h := range r.hosts {
			if random.IntN(4) > 0 {
				h.signal(syscall.SIGKILL)
			}
		}
		wait.Sleep(ctx, lasts/4)
		for _, h := range r.hosts {
			r.restart(h)
		}
	}},
	{"pause a host", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		h := r.anyHost(random)
		h.signal(syscall.SIGSTOP)
		wait.Sleep(ctx, lasts)
		h.signal(syscall.SIGCONT)
	}},
	{"signal new settings", func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.anyHost(random).signal(syscall.SIGHUP)
	}},
	{"store fails for some hosts", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaults)-1))
		for _, h := range r.hosts {
			if random.IntN(2) == 0 {
				r.store.setFault(h.name, f)
				defer r.store.setFault(h.name, storeUp)
			}
		}
		wait.Sleep(ctx, lasts)
	}},
	{"store fails for all hosts", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaults)-1))
		for _, h := range r.hosts {
			r.store.setFault(h.name, f)
			defer r.store.setFault(h.name, storeUp)
		}
		wait.Sleep(ctx, lasts)
	}},
	{"path to an endpoint", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		p := r.paths[random.IntN(len(r.paths))]
		p.setFault(pathFault(1 + random.IntN(int(pathFaults)-1)))
		wait.Sleep(ctx, lasts)
		p.setFault(pathUp)
	}},
	{"reset connections to an endpoint", func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.paths[random.IntN(len(r.paths))].reset()
	}},
	{"crash the primary", func(ctx context.Context, r *runner, _ *rand.Rand, lasts time.Duration) {
		r.group.mu.Lock()
		e := r.group.leader()
		r.group.mu.Unlock()
		if e == nil {
			return
		}
		r.group.crash(e)
		wait.Sleep(ctx, lasts)
		r.group.restart(e)
	}},
	{"replica receives nothing", func(ctx context.Context, r *runner, random *rand.Rand, lasts time.Duration) {
		e := r.group.endpoints[random.IntN(len(r.group.endpoints))]
		setDeaf := func(deaf bool) {
			r.group.mu.Lock()
			defer r.group.mu.Unlock()
			e.deaf = deaf
		}
		setDeaf(true)
		wait.Sleep(ctx, lasts)
		setDeaf(false)
	}},
	{"change the configuration", func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.configure(700 + random.IntN(600))
	}},
}

// inject runs faults in series that overlap, until the context ends, and returns when
// the last one is over.
func (r *runner) inject(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		lasts := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		gap := time.Duration(random.Int64N(int64(2 * meanFaultGap)))
		r.log.Info().Str("fault", f.name).Dur("lasts_ms", lasts).Msg("fault begins")
		r.injected.Go(func() { f.do(ctx, r, own, lasts) })
		wait.Sleep(ctx, gap)
	}
	r.injected.Wait()
}
