// Package routing chooses the endpoint for a read: which endpoints have what the
// session must see and are fresh enough, which of them answers soonest, and
// which are slow or failing and get less work.
package routing

import (
	"math"
	"sort"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// UnknownAge is the age of a position that is older than every sample.
	UnknownAge = time.Duration(math.MaxInt64)
	// sampleSpacing is the smallest time between two samples that are kept.
	// Confirmations poll the primary back to back, and staleness limits are
	// seconds.
	sampleSpacing = 20 * time.Millisecond
	// maxSamples bounds the memory of one group: 1,024 samples take 40 KB.
	maxSamples = 1024
)

// Staleness relates positions to the time at which the primary was there, for
// one term of one group. It is not safe for concurrent use.
type Staleness struct {
	samples []sample
}

// sample says that the primary's log ended at or before the position at the time.
type sample struct {
	at       time.Time
	position logpos.Position
}

// NewStaleness returns a Staleness without samples.
func NewStaleness() *Staleness { return &Staleness{} }

// Sample records the position of the primary's log. The time must not be later
// than the moment at which the primary read its position; the start of the poll
// is safe, whereas the arrival of the answer would make replicas look fresher
// than they are. Samples that arrive out of order are ignored.
func (s *Staleness) Sample(at time.Time, primary logpos.Position) {
	n := len(s.samples)
	if n > 0 && (at.Before(s.samples[n-1].at) || primary.Less(s.samples[n-1].position)) {
		return
	}
	next := sample{at: at, position: primary}
	if n > 0 && s.replaces(next) {
		s.samples[n-1] = next
		return
	}
	if n == maxSamples {
		s.thin()
	}
	s.samples = append(s.samples, next)
}

// replaces reports whether the last sample may be given up for the next. Losing
// a sample only makes an age larger.
func (s *Staleness) replaces(next sample) bool {
	n := len(s.samples)
	if next.position == s.samples[n-1].position {
		return true
	}
	return n > 1 && next.at.Sub(s.samples[n-2].at) < sampleSpacing
}

// thin drops every second sample of the older half, so that old ages get
// coarser instead of unknown.
func (s *Staleness) thin() {
	half := len(s.samples) / 2
	kept := s.samples[:0]
	for i, old := range s.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, old)
		}
	}
	s.samples = kept
}

// Age returns how long ago the primary was at the applied position: an endpoint
// that has applied it sees everything that was committed before. The age of a
// position past the last sample is the time since that sample, since the
// primary may have moved on. The age is UnknownAge if the position is older than
// every sample.
func (s *Staleness) Age(now time.Time, applied logpos.Position) time.Duration {
	i := sort.Search(len(s.samples), func(i int) bool { return applied.Less(s.samples[i].position) })
	if i == 0 {
		return UnknownAge
	}
	return max(now.Sub(s.samples[i-1].at), 0)
}
