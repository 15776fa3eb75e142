// Package lease maintains the read lease of one group in one term.
//
// Guarantee: while Valid returns true, no other claimant has confirmed a write, provided
// that each claimant waits Duration plus DriftAllowance after a majority has granted its
// term. The lease is based on a majority of the endpoints that answered with the term.
// Each answer counts from the start of its call, since the endpoint may have been advanced
// to a higher term right after it answered.
package lease

import (
	"slices"
	"time"
)

// Duration is how long a lease lasts from the start of the calls on which it is based.
const Duration = time.Second

// DriftAllowance bounds how far the clocks of two hosts drift apart during Duration.
const DriftAllowance = 100 * time.Millisecond

// Majority returns the smallest number that is a majority of n.
func Majority(n int) int { return n/2 + 1 }

// Lease is the read lease of one term. It is not safe for concurrent use.
type Lease struct {
	started map[string]time.Time
}

// New returns a lease without answers, which is not valid.
func New() *Lease { return &Lease{started: make(map[string]time.Time)} }

// Observe records that the endpoint answered with the term to a call that started at the
// given time.
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

// NthNewest returns the n-th newest of the times, counted from 1, or zero if there are
// fewer. If the times are those of answers, it is the latest time since which n answers
// have come. The times are sorted in place.
func NthNewest(times []time.Time, n int) time.Time {
	if len(times) < n {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[n-1]
}

// Valid reports whether the lease is valid at now.
func (l *Lease) Valid(endpoints []string, now time.Time) bool {
	start := l.Start(endpoints)
	return !start.IsZero() && now.Sub(start) < Duration
}

// ConfirmAfter returns the time before which a claimant must not confirm a write if a
// majority granted its term at the given time.
func ConfirmAfter(majority time.Time) time.Time {
	return majority.Add(Duration + DriftAllowance)
}
