// Package lease keeps the read lease of one group in one term.
//
// Guarantee: while Valid returns true, no other claimant that waits Duration
// plus DriftAllowance after its majority has confirmed a write. The proof is a
// majority of the endpoints that answered with the term; each answer counts
// from the start of its call, since the endpoint may have been advanced to a
// higher term right after it answered.
package lease

import (
	"slices"
	"time"
)

// Duration is the time D that a lease lasts from the start of the calls that
// prove it.
const Duration = time.Second

// DriftAllowance covers the difference between the clock rates of two hosts
// over Duration.
const DriftAllowance = 100 * time.Millisecond

// Majority returns the smallest number of n endpoints that is a majority.
func Majority(n int) int { return n/2 + 1 }

// Lease is the proof of one term. It is not safe for concurrent use.
type Lease struct {
	started map[string]time.Time
}

// New returns a lease without proof.
func New() *Lease { return &Lease{started: make(map[string]time.Time)} }

// Observe records that the endpoint answered with the term, to a call that
// started at the given time.
func (l *Lease) Observe(endpoint string, started time.Time) {
	if l.started[endpoint].Before(started) {
		l.started[endpoint] = started
	}
}

// Start returns the latest time since which a majority of the endpoints has
// answered calls with the term; the zero time if there is no majority.
func (l *Lease) Start(endpoints []string) time.Time {
	times := make([]time.Time, 0, len(endpoints))
	for _, e := range endpoints {
		if t, ok := l.started[e]; ok {
			times = append(times, t)
		}
	}
	return NthNewest(times, Majority(len(endpoints)))
}

// NthNewest returns the n-th newest of the times, counted from 1: the latest time
// since which n answers have come. It is zero if there are fewer times. The times
// are sorted in place.
func NthNewest(times []time.Time, n int) time.Time {
	if len(times) < n {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// Valid reports whether the lease holds at now.
func (l *Lease) Valid(endpoints []string, now time.Time) bool {
	start := l.Start(endpoints)
	return !start.IsZero() && now.Sub(start) < Duration
}

// ConfirmAfter returns the time before which a claimant that got its majority
// at the given time must not confirm a write.
func ConfirmAfter(majority time.Time) time.Time {
	return majority.Add(Duration + DriftAllowance)
}
