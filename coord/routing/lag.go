package routing

import (
	"sort"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// lagMargin is added to a replica's estimated lag when deciding whether to send a
	// read there, because a read that the replica refuses costs a round trip.
	lagMargin = 5 * time.Millisecond
	// lagHalfLife is the time after which the estimated lag of a replica is halved if no
	// answer confirms it, so that reads try the replica again.
	lagHalfLife = 300 * time.Millisecond
	// refusedLagFactor multiplies the age of a position at which an endpoint refused a
	// read. The endpoint's lag is estimated as at least the product plus lagMargin.
	refusedLagFactor = 1.5
)

// PositionCovering returns the oldest sampled position that covers everything committed
// before the time. It returns false if all samples are older. A read that requires this
// position can be served by any replica that is fresh enough.
func (s *Staleness) PositionCovering(committedBefore time.Time) (logpos.Position, bool) {
	i := sort.Search(len(s.samples), func(i int) bool { return !s.samples[i].at.Before(committedBefore) })
	if i == len(s.samples) {
		return logpos.Position{}, false
	}
	return s.samples[i].position, true
}

// NewestSample returns the position and the time of the newest sample; zero values if
// there are none.
func (s *Staleness) NewestSample() (logpos.Position, time.Time) {
	if len(s.samples) == 0 {
		return logpos.Position{}, time.Time{}
	}
	last := s.samples[len(s.samples)-1]
	return last.position, last.at
}

// LagEstimator estimates how far a replica lags behind the primary, from the positions
// in its answers and from the reads that it refuses. It is not safe for concurrent use.
type LagEstimator struct {
	// applied is the highest position that an answer showed.
	applied logpos.Position
	// lag is the estimate as of the time at.
	lag time.Duration
	at  time.Time
}

// Observe updates the estimate with the applied position that an answer shows.
func (l *LagEstimator) Observe(now time.Time, applied logpos.Position, s *Staleness) {
	l.applied = logpos.Max(l.applied, applied)
	age := s.Age(now, applied)
	if age == UnknownAge {
		return
	}
	newest, at := s.NewestSample()
	if applied.Covers(newest) {
		age -= now.Sub(at)
	}
	l.lag, l.at = max(age, 0, l.Estimate(now)/2), now
}

// ObserveRefusal updates the estimate after the endpoint refused a read because it had
// not applied the position.
func (l *LagEstimator) ObserveRefusal(now time.Time, position logpos.Position, s *Staleness) {
	age := s.Age(now, position)
	if age == UnknownAge {
		return
	}
	l.lag, l.at = max(l.Estimate(now), time.Duration(float64(age)*refusedLagFactor)+lagMargin), now
}

// Estimate returns the estimated lag at now.
func (l *LagEstimator) Estimate(now time.Time) time.Duration {
	halvings := now.Sub(l.at) / lagHalfLife
	if halvings > 16 {
		return 0
	}
	return l.lag >> max(halvings, 0)
}

// LikelyCovers reports whether the replica is expected to have applied the position.
func (l *LagEstimator) LikelyCovers(now time.Time, position logpos.Position, s *Staleness) bool {
	if l.applied.Term == position.Term && l.applied.Covers(position) {
		return true
	}
	age := s.Age(now, position)
	return age != UnknownAge && age > l.Estimate(now)+lagMargin
}
