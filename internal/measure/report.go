package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beryltrestle/beryltrestle/internal/history"
)

// Report is the result of one scenario.
type Report struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Offered identifies the offered work; equal digests mean equal work.
	Offered string        `json:"offered_digest"`
	Phases  []PhaseReport `json:"phases"`
	// Retries are the daemons' retries by reason.
	Retries map[string]int64 `json:"retries"`
	// ReplicaShare is the share of reads that replicas served.
	ReplicaShare *float64 `json:"replica_share,omitempty"`
	// EligibleReplicaShare is reads served by replicas per lookup whose session's
	// last booking the replicas should have applied; at most 1.
	EligibleReplicaShare *float64 `json:"eligible_replica_share,omitempty"`
	// GapMs is the longest time between two confirmed bookings on the failed pool.
	GapMs *float64 `json:"gap_ms,omitempty"`
	// LookupGapMs is the same for lookups.
	LookupGapMs *float64 `json:"lookup_gap_ms,omitempty"`
	// BlockingRatio is the p99 of short work beside long work over that alone.
	BlockingRatio *float64 `json:"blocking_ratio,omitempty"`
	Check         Check    `json:"check"`
	// Noise tells how much of the latencies is due to a busy machine.
	Noise Noise `json:"noise"`
}

// PhaseReport is the result of one phase of constant load.
type PhaseReport struct {
	Name     string  `json:"name"`
	Seconds  float64 `json:"seconds"`
	Short    Work    `json:"short"`
	Bookings Work    `json:"bookings"`
	Long     *Work   `json:"long,omitempty"`
	// CapacityPerSecond is what the primaries can serve at most.
	CapacityPerSecond float64 `json:"capacity_per_s"`
	// GoodputOfCapacity is the goodput of bookings over the capacity.
	GoodputOfCapacity float64 `json:"goodput_of_capacity"`
	// Refusals are requests that were not run, by reason.
	Refusals map[string]int64 `json:"refusals"`
	// Unknowns are requests whose outcome is not known, by reason.
	Unknowns map[string]int64 `json:"unknowns"`
}

// Work summarises requests; latencies are those of answered requests, from the
// time at which the request was due.
type Work struct {
	Offered          int     `json:"offered"`
	OfferedPerSecond float64 `json:"offered_per_s"`
	Done             int     `json:"done"`
	InDeadline       int     `json:"in_deadline"`
	// Goodput is requests done within their deadline, per second.
	Goodput float64 `json:"goodput_per_s"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p999_ms"`
}

const (
	// maxLatency is the largest latency that a histogram tells apart.
	maxLatency        = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func summarise(outcomes []outcome, seconds float64, include func(Job) bool) Work {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	var w Work
	for _, o := range outcomes {
		if !include(o.job) {
			continue
		}
		w.Offered++
		if !o.ok() {
			continue
		}
		w.Done++
		_ = h.RecordValue(min(o.latency.Microseconds(), maxLatency))
		if o.inDeadline() {
			w.InDeadline++
		}
	}
	w.OfferedPerSecond = float64(w.Offered) / seconds
	w.Goodput = float64(w.InDeadline) / seconds
	w.P50Ms = quantileMs(h, 50)
	w.P99Ms = quantileMs(h, 99)
	w.P999Ms = quantileMs(h, 99.9)
	return w
}

func quantileMs(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / float64(time.Millisecond/time.Microsecond)
}

// phaseReports summarises the outcomes of each phase that is not a warm-up.
func phaseReports(d Deployment, phases []Phase, outcomes []outcome) []PhaseReport {
	byPhase := make([][]outcome, len(phases))
	for _, o := range outcomes {
		byPhase[o.job.Phase] = append(byPhase[o.job.Phase], o)
	}
	var out []PhaseReport
	for i, p := range phases {
		if !p.Warmup {
			out = append(out, phaseReport(d, p, byPhase[i]))
		}
	}
	return out
}

func phaseReport(d Deployment, p Phase, outcomes []outcome) PhaseReport {
	seconds := p.Duration.Seconds()
	r := PhaseReport{
		Name:              p.Name,
		Seconds:           seconds,
		Short:             summarise(outcomes, seconds, func(j Job) bool { return !j.long() }),
		Bookings:          summarise(outcomes, seconds, func(j Job) bool { return j.Kind == kindBooking }),
		CapacityPerSecond: d.Capacity(),
		Refusals:          map[string]int64{},
		Unknowns:          map[string]int64{},
	}
	if long := summarise(outcomes, seconds, Job.long); long.Offered > 0 {
		r.Long = &long
	}
	r.GoodputOfCapacity = r.Bookings.Goodput / r.CapacityPerSecond
	for _, o := range outcomes {
		switch {
		case o.ok():
		case o.result == history.NotRun:
			r.Refusals[o.reason]++
		default:
			r.Unknowns[o.reason]++
		}
	}
	return r
}
