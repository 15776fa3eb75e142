package soak

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// shortestCutOff and longestCutOff bound how long a primary is cut off: from less than the
	// time in which it is replaced to more than hostUserTimeout after its replacement.
	shortestCutOff = 300 * time.Millisecond
	longestCutOff  = 2500 * time.Millisecond
	// restartDelay is the time before a process that ended is started again.
	restartDelay = 300 * time.Millisecond
)

// fault is one kind of fault.
type fault struct {
	name string
	// disturbs is true if hosts lose contact to the store or to each other.
	disturbs bool
	// calm is the time after the start of the fault in which no other fault starts.
	calm time.Duration
	// inject starts the fault and returns when the fault is over.
	inject func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration)
}

// faults lists the kinds of faults, which are equally likely. withdrawals and loweredLimits are
// added in runs with teams.
var faults = []fault{
	{name: "stop a host gracefully", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		h := r.randomHost(random)
		r.end(ctx, h, false)
		wait.Sleep(ctx, restartDelay)
		r.restart(h)
	}},
	{name: "kill a host", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		h := r.randomHost(random)
		h.kill()
		wait.Sleep(ctx, duration/4)
		r.restart(h)
	}},
	{name: "kill most hosts at once", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		for _, h := range r.hostList() {
			if random.IntN(4) > 0 {
				h.signal(syscall.SIGKILL)
			}
		}
		wait.Sleep(ctx, duration/4)
		for _, h := range r.hostList() {
			r.restart(h)
		}
	}},
	{name: "pause a host", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		r.randomHost(random).pause(ctx, duration)
	}},
	{name: "make a host reload its settings", inject: func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.randomHost(random).signal(syscall.SIGHUP)
	}},
	{name: "store fails for some hosts", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaultCount)-1))
		for _, h := range r.hostList() {
			if random.IntN(2) == 0 {
				r.store.setFault(h.name, f)
				defer r.store.setFault(h.name, storeHealthy)
			}
		}
		wait.Sleep(ctx, duration)
	}},
	{name: "store fails for all hosts", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		f := storeFault(1 + random.IntN(int(storeFaultCount)-1))
		for _, h := range r.hostList() {
			r.store.setFault(h.name, f)
			defer r.store.setFault(h.name, storeHealthy)
		}
		wait.Sleep(ctx, duration)
	}},
	{name: "impair the path to an endpoint", inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		p := r.randomEndpoint(random).proxy
		p.setFault(pathFault(1 + random.IntN(int(pathFaultCount)-1)))
		wait.Sleep(ctx, duration)
		p.setFault(pathHealthy)
	}},
	{name: "reset connections to an endpoint", inject: func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.randomEndpoint(random).proxy.reset()
	}},
	{name: "crash the primary", inject: func(ctx context.Context, r *runner, _ *rand.Rand, duration time.Duration) {
		e := r.group.primary()
		if e == nil {
			return
		}
		r.group.crash(e)
		wait.Sleep(ctx, duration)
		r.group.restart(e)
	}},
	{name: "cut off the primary", inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		for range 1 + random.IntN(3) {
			r.cutOffPrimary(ctx, random.IntN(2) == 0, shortestCutOff+time.Duration(random.Int64N(int64(longestCutOff-shortestCutOff))))
			wait.Sleep(ctx, time.Duration(random.Int64N(int64(2*meanFaultGap))))
		}
	}},
	{name: "stop replication to an endpoint", inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		e := r.randomEndpoint(random)
		setStopped := func(stopped bool) {
			r.group.mu.Lock()
			defer r.group.mu.Unlock()
			e.replicationStopped = stopped
		}
		setStopped(true)
		wait.Sleep(ctx, duration)
		setStopped(false)
	}},
	{name: "fail part of the requests of an endpoint", inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		e := r.randomEndpoint(random)
		fail := func(share float64) {
			r.group.mu.Lock()
			defer r.group.mu.Unlock()
			e.failShare = share
		}
		fail(0.2 + 0.3*random.Float64())
		wait.Sleep(ctx, duration)
		fail(0)
	}},
	{name: "change the configuration", inject: func(_ context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.writeConfig(700 + random.IntN(600))
	}},
}

// cutOffPrimary cuts the primary off from the hosts and the other endpoints for the given time,
// or until a successor has committed a write if that is earlier and untilReplaced is set. It
// returns whether the primary had such a successor in the end.
func (r *runner) cutOffPrimary(ctx context.Context, untilReplaced bool, duration time.Duration) (replaced bool) {
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	r.group.mu.Lock()
	e := r.group.currentPrimary()
	if e == nil || e.isolated {
		r.group.mu.Unlock()
		return false
	}
	e.isolated = true
	r.group.mu.Unlock()
	r.paths.setUnreachable(e.id, true)
	for ctx.Err() == nil && (!untilReplaced || !r.group.hasSuccessor(e)) {
		wait.Sleep(ctx, time.Millisecond)
	}
	r.paths.setUnreachable(e.id, false)
	replaced = r.group.hasSuccessor(e)
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	e.isolated = false
	return replaced
}

// allFaults returns the kinds of faults of the run. Changes of primary are more likely than others,
// as each of them is a chance to use two primaries at once.
func (r *runner) allFaults() []fault {
	series := fault{name: "change the primary in series", inject: func(ctx context.Context, r *runner, random *rand.Rand, duration time.Duration) {
		r.changeInSeries(ctx, random, duration)
	}}
	out := slices.Concat(faults, hostFaults, changes, []fault{series, series, series})
	if r.teams != nil {
		out = slices.Concat(out, withdrawals, loweredLimits)
	}
	return out
}

// injectFaults starts random faults, which may overlap, until ctx ends. It returns when
// the last fault is over.
func (r *runner) injectFaults(ctx context.Context, random *rand.Rand) {
	list := r.allFaults()
	next := list
	if r.teams != nil {
		// Short runs would often withdraw no key.
		list = withdrawals
	}
	for ctx.Err() == nil {
		f := list[random.IntN(len(list))]
		list = next
		duration := shortestFault + time.Duration(random.Int64N(int64(longestFault-shortestFault)))
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		gap := time.Duration(random.Int64N(int64(2 * meanFaultGap)))
		r.log.Info().Str("fault", f.name).Dur("lasts_ms", duration).Msg("fault begins")
		r.activeFaults.Go(func() {
			began := time.Now()
			f.inject(ctx, r, faultRandom, duration)
			if f.disturbs {
				r.addDisturbance(began)
			}
		})
		wait.Sleep(ctx, f.calm+gap)
	}
	r.activeFaults.Wait()
}
