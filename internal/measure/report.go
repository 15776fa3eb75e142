package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/beryltrestle/beryltrestle/internal/history"
)

// Report is the result of one run of a scenario.
type Report struct {
	Scenario   string `json:"scenario"`
	Deployment string `json:"deployment"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// OfferedDigest is a hash of the offered work: equal digests mean equal work.
	OfferedDigest string        `json:"offered_digest"`
	Phases        []PhaseReport `json:"phases"`
	// Retries are the daemons' retries by reason.
	Retries map[string]int64 `json:"retries"`
	// ReplicaShare is the share of reads that replicas served.
	ReplicaShare *float64 `json:"replica_share,omitempty"`
	// EligibleReplicaShare is the number of reads that replicas served divided by
	// the number of lookups whose session's last booking the replicas should have
	// applied, limited to 1.
	EligibleReplicaShare *float64 `json:"eligible_replica_share,omitempty"`
	// GapMs is the longest time between two confirmed bookings on the failed pool.
	GapMs *float64 `json:"gap_ms,omitempty"`
	// LookupGapMs is the same for lookups.
	LookupGapMs *float64 `json:"lookup_gap_ms,omitempty"`
	// BlockingRatio is the p99 latency of short statements while long statements
	// run, divided by their p99 latency without long statements.
	BlockingRatio *float64 `json:"blocking_ratio,omitempty"`
	Check         Check    `json:"check"`
	// Noise shows how much of the latencies is due to a busy machine.
	Noise Noise `json:"noise"`
}

// PhaseReport is the result of one phase of constant load.
type PhaseReport struct {
	Name     string        `json:"name"`
	Seconds  float64       `json:"seconds"`
	Short    RequestStats  `json:"short"`
	Bookings RequestStats  `json:"bookings"`
	Long     *RequestStats `json:"long,omitempty"`
	// CapacityPerSecond is the number of short statements that the primaries can
	// run per second.
	CapacityPerSecond float64 `json:"capacity_per_s"`
	// GoodputOfCapacity is the goodput of bookings divided by the capacity.
	GoodputOfCapacity float64 `json:"goodput_of_capacity"`
	// Refusals counts the requests that were not run, by reason.
	Refusals map[string]int64 `json:"refusals"`
	// Unknowns counts the requests whose outcome is not known, by reason.
	Unknowns map[string]int64 `json:"unknowns"`
}

// RequestStats summarises a group of requests. Latencies are those of successful
// requests, measured from the time at which the request was due.
type RequestStats struct {
	Offered          int     `json:"offered"`
	OfferedPerSecond float64 `json:"offered_per_s"`
	Done             int     `json:"done"`
	InDeadline       int     `json:"in_deadline"`
	// Goodput is the number of requests per second that succeeded within their
	// deadline.
	Goodput float64 `json:"goodput_per_s"`
	P50Ms   float64 `json:"p50_ms"`
	P99Ms   float64 `json:"p99_ms"`
	P999Ms  float64 `json:"p999_ms"`
}

const (
	// maxLatency, in microseconds, is the largest value of a latency histogram;
	// higher latencies are recorded as this one.
	maxLatency        = int64(2 * time.Minute / time.Microsecond)
	significantDigits = 3
)

func summarise(outcomes []outcome, seconds float64, include func(Job) bool) RequestStats {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	var stats RequestStats
	for _, o := range outcomes {
		if !include(o.job) {
			continue
		}
		stats.Offered++
		if !o.ok() {
			continue
		}
		stats.Done++
		_ = h.RecordValue(min(o.latency.Microseconds(), maxLatency))
		if o.inDeadline() {
			stats.InDeadline++
		}
	}
	stats.OfferedPerSecond = float64(stats.Offered) / seconds
	stats.Goodput = float64(stats.InDeadline) / seconds
	stats.P50Ms = quantileMs(h, 50)
	stats.P99Ms = quantileMs(h, 99)
	stats.P999Ms = quantileMs(h, 99.9)
	return stats
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
