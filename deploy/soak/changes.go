package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// drainBound is the DrainMs of the hosts' settings. It is shorter than at the users' sites, so
	// that planned changes end within a short run.
	drainBound = 2500 * time.Millisecond
	// longestOverstay bounds how long a draining endpoint goes on after drainBound.
	longestOverstay = 1500 * time.Millisecond
	// longestSync bounds how long a new replica runs before the endpoint that it replaces drains:
	// from less than it needs for the log to much more.
	longestSync = 600 * time.Millisecond
	// shortestStall and longestStall bound how long an endpoint stands still: from less than the
	// time in which it is replaced to more than the time for which its row remains.
	shortestStall = 300 * time.Millisecond
	longestStall  = 7 * time.Second
	// longestChangeGap bounds the time between two changes of primary of a series.
	longestChangeGap = 1500 * time.Millisecond
)

// upTo returns a random duration below the limit.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// between returns a random duration between the bounds.
func between(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// changes lists the faults that change the primary.
var changes = []fault{
	{name: "replace the primary as planned", inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.replaceAsPlanned(ctx, random, r.group.primary())
	}},
	{name: "replace an endpoint as planned", inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.replaceAsPlanned(ctx, random, r.randomEndpoint(random))
	}},
	{name: "stop the primary's process", inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.stallPrimary(ctx, random.IntN(2) == 0, between(random, shortestStall, longestStall))
	}},
	{name: "stop the process of an endpoint", inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		e := r.randomEndpoint(random)
		r.group.stall(e)
		wait.Sleep(ctx, between(random, shortestStall, longestStall))
		r.group.resume(e)
	}},
	{name: "cut off the primary from most hosts", inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.cutOffFromMost(ctx, random, between(random, shortestStall, longestStall), nil)
	}},
	{name: "cut off the primary from most hosts and restart the others", disturbs: true, inject: func(ctx context.Context, r *runner, random *rand.Rand, _ time.Duration) {
		r.cutOffFromMost(ctx, random, longestStall, func(ctx context.Context, hosts []*host) { r.restartRepeatedly(ctx, random, hosts) })
	}},
	{name: "crash the primary, which comes back under another ID", inject: func(ctx context.Context, r *runner, _ *rand.Rand, duration time.Duration) {
		e := r.group.primary()
		if e == nil {
			return
		}
		r.group.crash(e)
		e.proxy.reset()
		wait.Sleep(ctx, duration)
		if err := r.takeOver(ctx, e); err != nil {
			r.log.Error().Err(err).Msg("endpoint did not start")
		}
	}},
}

// cutOffFromMost cuts the primary off from the other endpoints and from all hosts but one or two,
// for the given time or until a successor has committed a write if that is earlier.
// meanwhile, if set, is called with the hosts that still reach it.
func (r *runner) cutOffFromMost(ctx context.Context, random *rand.Rand, duration time.Duration, meanwhile func(context.Context, []*host)) (replaced bool) {
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
	hosts := r.hostList()
	random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	reaching := 1 + random.IntN(2)
	var others []string
	for _, h := range hosts[reaching:] {
		others = append(others, h.name)
	}
	r.paths.cut(others, []string{e.id})
	if meanwhile != nil {
		meanwhile(ctx, hosts[:reaching])
	}
	for ctx.Err() == nil && !r.group.hasSuccessor(e) {
		wait.Sleep(ctx, time.Millisecond)
	}
	replaced = r.group.hasSuccessor(e)
	wait.Sleep(ctx, upTo(random, longestChangeGap))
	r.paths.mend(others, []string{e.id})
	r.group.mu.Lock()
	defer r.group.mu.Unlock()
	e.isolated = false
	return replaced
}

// replaceAsPlanned starts a new replica, lets the endpoint announce that it drains, and ends it
// some time after drainBound.
func (r *runner) replaceAsPlanned(ctx context.Context, random *rand.Rand, e *endpoint) {
	if e == nil || !r.group.beginReplacement(e) {
		return
	}
	if err := r.join(ctx); err != nil {
		r.log.Error().Err(err).Msg("endpoint did not start")
		return
	}
	wait.Sleep(ctx, upTo(random, longestSync))
	r.group.drain(e)
	wait.Sleep(ctx, drainBound+upTo(random, longestOverstay))
	r.group.leave(e, true)
}

// changeInSeries makes several changes of primary that overlap.
func (r *runner) changeInSeries(ctx context.Context, random *rand.Rand, duration time.Duration) {
	const most = 4
	for range 2 + random.IntN(most-1) {
		f := changes[random.IntN(len(changes))]
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		r.log.Info().Str("fault", f.name).Msg("fault of a series begins")
		r.activeFaults.Go(func() { f.inject(ctx, r, own, duration) })
		wait.Sleep(ctx, upTo(random, longestChangeGap))
	}
}
