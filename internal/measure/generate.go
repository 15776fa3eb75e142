package measure

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// switchShare is the share of requests before which the session switches to
// another entry host.
const switchShare = 0.02

// Phase is a part of a run with constant arrival rates.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rates are the requests per second over all pools, by kind of request.
	Rates map[string]float64
	// Warmup leaves the phase out of the report.
	Warmup bool
}

// generateJobs returns the jobs of all phases in the order of their due times.
func generateJobs(seed uint64, phases []Phase, pools, sessions int) []Job {
	var jobs []Job
	start := time.Duration(0)
	for i, p := range phases {
		for k, kind := range []string{kindBooking, kindLookup, kindLedger, kindLedgerNow} {
			// Each phase and kind has its own stream, so that a change of one rate
			// leaves the other arrivals as they are.
			rng := rand.New(rand.NewPCG(seed, uint64(i)<<8|uint64(k)))
			jobs = append(jobs, poissonArrivals(rng, i, kind, p, start, pools, sessions)...)
		}
		start += p.Duration
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	numberBookings(jobs)
	return jobs
}

// poissonArrivals returns the phase's jobs of one kind, which arrive as a Poisson
// process.
func poissonArrivals(
	rng *rand.Rand, phase int, kind string, p Phase, start time.Duration, pools, sessions int,
) []Job {
	rate := p.Rates[kind]
	if rate <= 0 {
		return nil
	}
	var jobs []Job
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration {
			return jobs
		}
		jobs = append(jobs, Job{
			At:      start + at,
			Phase:   phase,
			Kind:    kind,
			Pool:    rng.IntN(pools),
			Session: rng.IntN(sessions),
			Move:    rng.Float64() < switchShare,
		})
	}
}

// numberBookings numbers the bookings from 1 in the order of their due times.
func numberBookings(jobs []Job) {
	n := 0
	for i := range jobs {
		if jobs[i].Kind == kindBooking {
			n++
			jobs[i].Sequence = n
		}
	}
}

// digest returns a hash of the jobs, which identifies the offered work in a report.
func digest(jobs []Job) string {
	h := sha256.New()
	for _, j := range jobs {
		fmt.Fprintf(h, "%+v\n", j)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
