// Package routing chooses the endpoint for a read: which endpoints have applied what the
// session must see and are fresh enough, which of them is expected to answer soonest,
// and which are slow or failing and get less work. It also decides when a host reaches
// an endpoint through other hosts.
package routing

import (
	"math"
	"sort"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// UnknownAge stands for the age of a position that is older than every sample.
	UnknownAge = time.Duration(math.MaxInt64)
	// minSampleSpacing is the shortest time between two samples that are kept. The
	// confirmation of writes polls the primary without pause, whereas limits of
	// staleness are in the order of seconds and need no finer samples.
	minSampleSpacing = 20 * time.Millisecond
	// maxSamples bounds the memory of one group: 1,024 samples take 40 KB.
	maxSamples = 1024
)

// Staleness estimates the age of log positions from samples of the primary's position,
// for one term of one group. It is not safe for concurrent use.
type Staleness struct {
	samples []sample
}

// sample states that, at the time, the primary's log ended at the position or before.
type sample struct {
	at       time.Time
	position logpos.Position
}

// NewStaleness returns a Staleness without samples.
func NewStaleness() *Staleness { return &Staleness{} }

// Sample records the end of the primary's log. The time must not be later than the
// moment at which the primary read its position. The start of the poll is safe, whereas
// the arrival of the answer would make replicas appear fresher than they are. Samples
// that arrive out of order are ignored.
func (s *Staleness) Sample(at time.Time, primary logpos.Position) {
	n := len(s.samples)
	if n > 0 && (at.Before(s.samples[n-1].at) || primary.Less(s.samples[n-1].position)) {
		return
	}
	next := sample{at: at, position: primary}
	if n > 0 && s.canReplaceLast(next) {
		s.samples[n-1] = next
		return
	}
	if n == maxSamples {
		s.downsample()
	}
	s.samples = append(s.samples, next)
}

// canReplaceLast reports whether the next sample may replace the last one. A lost sample
// only makes ages larger.
func (s *Staleness) canReplaceLast(next sample) bool {
	n := len(s.samples)
	if next.position == s.samples[n-1].position {
		return true
	}
	return n > 1 && next.at.Sub(s.samples[n-2].at) < minSampleSpacing
}

// downsample drops every second sample of the older half, so that the ages of old
// positions become less precise instead of unknown.
func (s *Staleness) downsample() {
	half := len(s.samples) / 2
	kept := s.samples[:0]
	for i, old := range s.samples {
		if i >= half || i%2 == 0 {
			kept = append(kept, old)
		}
	}
	s.samples = kept
}

// Age returns an upper bound of how long ago the primary's log ended at the applied
// position: an endpoint that has applied it sees everything that was committed before
// that time. For a position at or after the last sample, the age is the time since that
// sample, because the log may have grown since. It is UnknownAge for a position that is
// older than every sample.
func (s *Staleness) Age(now time.Time, applied logpos.Position) time.Duration {
	i := sort.Search(len(s.samples), func(i int) bool { return applied.Less(s.samples[i].position) })
	if i == 0 {
		return UnknownAge
	}
	return max(now.Sub(s.samples[i-1].at), 0)
}
