package routing

import (
	"sort"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	// lagMargin is added to a replica's known lag before a read is sent there: a
	// refused read costs a round trip.
	lagMargin = 5 * time.Millisecond
	// lagHalving is the time after which the known lag of a replica that nobody
	// reads from is halved, so that reads try it again.
	lagHalving = 300 * time.Millisecond
	// lagRefused is how much larger than a position's age the lag is taken to be
	// when an endpoint refuses a read at that position.
	lagRefused = 1.5
)

// PositionCovering returns the oldest sampled position that contains everything committed
// before the time. It returns false if no sample is that young. Reads that name
// it in their request are served by any replica that is fresh enough.
func (s *Staleness) PositionCovering(committedBefore time.Time) (logpos.Position, bool) {
	i := sort.Search(len(s.samples), func(i int) bool { return !s.samples[i].at.Before(committedBefore) })
	if i == len(s.samples) {
		return logpos.Position{}, false
	}
	return s.samples[i].position, true
}

// NewestSample returns the last sample and its time.
func (s *Staleness) NewestSample() (logpos.Position, time.Time) {
	if len(s.samples) == 0 {
		return logpos.Position{}, time.Time{}
	}
	last := s.samples[len(s.samples)-1]
	return last.position, last.at
}

// LagEstimator estimates how far a replica is behind, from the positions in its answers
// and from the reads that it refuses. It is not safe for concurrent use.
type LagEstimator struct {
	applied logpos.Position
	lag     time.Duration
	at      time.Time
}

// Observe takes the position that an answer shows.
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

// ObserveRefusal takes note that the endpoint lacked the position.
func (l *LagEstimator) ObserveRefusal(now time.Time, position logpos.Position, s *Staleness) {
	age := s.Age(now, position)
	if age == UnknownAge {
		return
	}
	l.lag, l.at = max(l.Estimate(now), time.Duration(float64(age)*lagRefused)+lagMargin), now
}

// Estimate returns the lag as it is thought to be now.
func (l *LagEstimator) Estimate(now time.Time) time.Duration {
	halvings := now.Sub(l.at) / lagHalving
	if halvings > 16 {
		return 0
	}
	return l.lag >> max(halvings, 0)
}

// LikelyCovers reports whether the replica is expected to have the position.
func (l *LagEstimator) LikelyCovers(now time.Time, position logpos.Position, s *Staleness) bool {
	if l.applied.Term == position.Term && l.applied.Covers(position) {
		return true
	}
	age := s.Age(now, position)
	return age != UnknownAge && age > l.Estimate(now)+lagMargin
}
