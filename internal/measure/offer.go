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

// moveShare is the share of requests before which the session changes its entry.
const moveShare = 0.02

// Phase is a part of a run with constant rates.
type Phase struct {
	Name     string
	Duration time.Duration
	// Rates are requests per second over all pools, by kind.
	Rates map[string]float64
	// Warmup phases are not reported.
	Warmup bool
}

// offer generates the jobs of the phases: arrivals of each kind are a Poisson
// process.
func offer(seed uint64, phases []Phase, pools, sessions int) []Job {
	var jobs []Job
	start := time.Duration(0)
	for i, p := range phases {
		for k, kind := range []string{kindBooking, kindLookup, kindLedger, kindLedgerNow} {
			// Each phase and kind has its own stream, so that a change of one rate
			// leaves the other arrivals as they are.
			rng := rand.New(rand.NewPCG(seed, uint64(i)<<8|uint64(k)))
			jobs = append(jobs, arrivals(rng, i, kind, p, start, pools, sessions)...)
		}
		start += p.Duration
	}
	slices.SortStableFunc(jobs, func(a, b Job) int { return cmp.Compare(a.At, b.At) })
	number(jobs)
	return jobs
}

func arrivals(
	rng *rand.Rand, phase int, kind string, p Phase, start time.Duration, pools, sessions int,
) []Job {
	rate := p.Rates[kind]
	if rate <= 0 {
		return nil
	}
	var out []Job
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration {
			return out
		}
		out = append(out, Job{
			At:      start + at,
			Phase:   phase,
			Kind:    kind,
			Pool:    rng.IntN(pools),
			Session: rng.IntN(sessions),
			Move:    rng.Float64() < moveShare,
		})
	}
}

func number(jobs []Job) {
	n := 0
	for i := range jobs {
		if jobs[i].Kind == kindBooking {
			n++
			jobs[i].Sequence = n
		}
	}
}

// digest identifies the offered work in a report.
func digest(jobs []Job) string {
	h := sha256.New()
	for _, j := range jobs {
		fmt.Fprintf(h, "%+v\n", j)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
