package measure

import (
	"context"
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// baseUtilization is the ordinary rate of bookings divided by the primaries'
	// capacity. A 5-fold peak is 2.5 times the capacity.
	baseUtilization = 0.5
	// lookupsPerBooking is the rate of lookups divided by the rate of bookings.
	lookupsPerBooking = 0.25
	// longUtilization is the share of the primaries' slots that each of the two
	// kinds of long statement needs.
	longUtilization = 0.2
	// replicaLag is the apply delay of replicas in the replica-share scenario.
	replicaLag = 2 * time.Second
)

// loadPeaks raises the load at once to 5 times and to 10 times the ordinary one.
var loadPeaks = scenario{
	phases: func(o Options) []Phase {
		return []Phase{
			{Name: "warm-up", Duration: o.PhaseUnit / 2, Rates: shortRequestRates(o, 1), Warmup: true},
			{Name: "ordinary", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 1)},
			{Name: "5-fold", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 5)},
			{Name: "between", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 1)},
			{Name: "10-fold", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 10)},
			{Name: "after", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 1)},
		}
	},
}

// blocking runs short statements alone, and then together with long statements.
var blocking = scenario{
	phases: func(o Options) []Phase {
		alone := shortRequestRates(o, 0.6)
		withLong := shortRequestRates(o, 0.6)
		slots := float64(len(o.Deployment.Pools) * o.Deployment.Slots)
		withLong[kindLedger] = longUtilization * slots / longServiceTime.Seconds()
		withLong[kindLedgerNow] = longUtilization * slots / longServiceTime.Seconds()
		return []Phase{
			{Name: "warm-up", Duration: o.PhaseUnit / 2, Rates: alone, Warmup: true},
			{Name: "alone", Duration: 2 * o.PhaseUnit, Rates: alone},
			{Name: "beside long", Duration: 2 * o.PhaseUnit, Rates: withLong},
		}
	},
	addResults: func(_ Options, _ *runner, _ map[string]int64, rep *Report) {
		ratio := rep.Phases[1].Short.P99Ms / max(rep.Phases[0].Short.P99Ms, 0.001)
		rep.BlockingRatio = &ratio
	},
}

// failover cuts off the first pool's primary after the first phase, until the load
// ends.
var failover = scenario{
	phases: func(o Options) []Phase {
		return []Phase{
			{Name: "before", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 0.6)},
			{Name: "failover", Duration: 2 * o.PhaseUnit, Rates: shortRequestRates(o, 0.6)},
			{Name: "after", Duration: o.PhaseUnit, Rates: shortRequestRates(o, 0.6)},
		}
	},
	injectFault: func(ctx context.Context, sys System, o Options, _ *runner) error {
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
	addResults: func(o Options, r *runner, _ map[string]int64, rep *Report) {
		end := 4 * o.PhaseUnit
		rep.GapMs = longestGap(r.outcomes, kindBooking, o.PhaseUnit, end)
		rep.LookupGapMs = longestGap(r.outcomes, kindLookup, o.PhaseUnit, end)
	},
}

// replicaShare runs mostly lookups, with replicas that lag behind the primary.
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
	addResults: func(_ Options, r *runner, counters map[string]int64, rep *Report) {
		replica, primary := readCounts(counters)
		share := replica / max(replica+primary, 1)
		rep.ReplicaShare = &share
		eligible := min(replica/max(float64(countReplicaEligible(r.outcomes)), 1), 1)
		rep.EligibleReplicaShare = &eligible
	},
}

// shortRequestRates returns the rates of bookings and lookups at factor times the
// ordinary load.
func shortRequestRates(o Options, factor float64) map[string]float64 {
	base := factor * baseUtilization * o.Deployment.Capacity()
	return map[string]float64{kindBooking: base, kindLookup: lookupsPerBooking * base}
}

// longestGap returns the longest time, in milliseconds, between two successful
// requests of the kind on the first pool. The first gap starts at from and the
// last one ends at to.
func longestGap(outcomes []outcome, kind string, from, to time.Duration) *float64 {
	times := []time.Duration{from, to}
	for _, o := range outcomes {
		if o.ok() && o.job.Pool == 0 && o.job.Kind == kind && o.answeredAt >= from && o.answeredAt <= to {
			times = append(times, o.answeredAt)
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

// countReplicaEligible returns the number of successful lookups that a replica
// could have served.
func countReplicaEligible(outcomes []outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.ok() && o.replicaEligible {
			n++
		}
	}
	return n
}
