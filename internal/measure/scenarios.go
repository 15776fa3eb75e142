package measure

import (
	"context"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// baseLoad is the ordinary demand for bookings over the primaries' capacity.
	// A 5-fold peak is 2.5 times the capacity.
	baseLoad = 0.5
	// lookupShare is the lookups per booking at ordinary demand.
	lookupShare = 0.25
	// longLoad is the demand of long work over the primaries' slots, for each of
	// its two kinds.
	longLoad = 0.2
	// replicaLag is how late replicas are in the replica-share scenario.
	replicaLag = 2 * time.Second
)

// crest is a demand that rises 5-fold and 10-fold within no time.
var crest = scenario{
	phases: func(o Options) []Phase {
		return []Phase{
			{Name: "warm-up", Duration: o.PhaseUnit / 2, Rates: shortRates(o, 1), Warmup: true},
			{Name: "ordinary", Duration: o.PhaseUnit, Rates: shortRates(o, 1)},
			{Name: "5-fold", Duration: o.PhaseUnit, Rates: shortRates(o, 5)},
			{Name: "between", Duration: o.PhaseUnit, Rates: shortRates(o, 1)},
			{Name: "10-fold", Duration: o.PhaseUnit, Rates: shortRates(o, 10)},
			{Name: "after", Duration: o.PhaseUnit, Rates: shortRates(o, 1)},
		}
	},
}

// blocking is short work alone, then beside long work.
var blocking = scenario{
	phases: func(o Options) []Phase {
		alone := shortRates(o, 0.6)
		beside := shortRates(o, 0.6)
		slots := float64(len(o.Deployment.Pools) * o.Deployment.Slots)
		beside[kindLedger] = longLoad * slots / longWork.Seconds()
		beside[kindLedgerNow] = longLoad * slots / longWork.Seconds()
		return []Phase{
			{Name: "warm-up", Duration: o.PhaseUnit / 2, Rates: alone, Warmup: true},
			{Name: "alone", Duration: 2 * o.PhaseUnit, Rates: alone},
			{Name: "beside long", Duration: 2 * o.PhaseUnit, Rates: beside},
		}
	},
	finish: func(_ Options, _ *runner, _ map[string]int64, rep *Report) {
		ratio := rep.Phases[1].Short.P99Ms / max(rep.Phases[0].Short.P99Ms, 0.001)
		rep.BlockingRatio = &ratio
	},
}

// failover cuts the first pool's primary off after the first phase, for the rest
// of the load.
var failover = scenario{
	phases: func(o Options) []Phase {
		return []Phase{
			{Name: "before", Duration: o.PhaseUnit, Rates: shortRates(o, 0.6)},
			{Name: "failover", Duration: 2 * o.PhaseUnit, Rates: shortRates(o, 0.6)},
			{Name: "after", Duration: o.PhaseUnit, Rates: shortRates(o, 0.6)},
		}
	},
	during: func(ctx context.Context, sys System, o Options, _ *runner) error {
		if !wait.Sleep(ctx, o.PhaseUnit) {
			return ctx.Err()
		}
		restore, err := sys.FailPrimary(ctx, o.Deployment.Pools[0])
		if err != nil {
			return err
		}
		wait.Sleep(ctx, 3*o.PhaseUnit)
		restore()
		return nil
	},
	finish: func(o Options, r *runner, _ map[string]int64, rep *Report) {
		end := 4 * o.PhaseUnit
		rep.GapMs = longestGap(r.outcomes, kindBooking, o.PhaseUnit, end)
		rep.LookupGapMs = longestGap(r.outcomes, kindLookup, o.PhaseUnit, end)
	},
}

// replicaShare is mostly lookups, with replicas that are behind.
var replicaShare = scenario{
	replicaLag: replicaLag,
	phases: func(o Options) []Phase {
		rates := map[string]float64{
			kindBooking: 0.1 * o.Deployment.Capacity(),
			kindLookup:  0.4 * o.Deployment.Capacity(),
		}
		return []Phase{
			{Name: "lookups", Duration: 3 * o.PhaseUnit, Rates: rates},
		}
	},
	finish: func(_ Options, r *runner, counters map[string]int64, rep *Report) {
		replica, primary := replicaReads(counters)
		share := replica / max(replica+primary, 1)
		rep.ReplicaShare = &share
		eligible := min(replica/max(float64(countSettled(r.outcomes)), 1), 1)
		rep.EligibleReplicaShare = &eligible
	},
}

func shortRates(o Options, factor float64) map[string]float64 {
	base := factor * baseLoad * o.Deployment.Capacity()
	return map[string]float64{kindBooking: base, kindLookup: lookupShare * base}
}

// longestGap returns the longest time, in milliseconds, without an answer of the
// kind on the first pool. The last gap ends at the end of the load.
func longestGap(outcomes []outcome, kind string, from, to time.Duration) *float64 {
	times := []time.Duration{from, to}
	for _, o := range outcomes {
		if o.ok() && o.job.Pool == 0 && o.job.Kind == kind && o.finished >= from && o.finished <= to {
			times = append(times, o.finished)
		}
	}
	slices.Sort(times)
	var longest time.Duration
	for i := 1; i < len(times); i++ {
		longest = max(longest, times[i]-times[i-1])
	}
	ms := float64(longest) / float64(time.Millisecond)
	return &ms
}

func countSettled(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.ok() && o.settled {
			n++
		}
	}
	return n
}
