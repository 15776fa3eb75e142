package concurrency

import (
	"math"
	"time"
)

// Kind identifies statements that take about the same time on an idle endpoint.
type Kind struct {
	Database string
	// Class tells operations apart, such as reads and commits.
	Class uint8
}

const (
	// maxKinds limits the kinds of which an endpoint's baselines are kept. Statements of
	// further kinds do not change the limit.
	maxKinds = 32
	// kindLifetime is how long a kind is kept without statements if its place is needed.
	kindLifetime = 30 * time.Second
)

// baselines holds, for each kind of statement, the response time without congestion.
// Times are logarithms of seconds: run times spread log-normally, so that their logarithms
// average to a steady value within a few statements, and single long ones count little.
type baselines struct {
	params *params
	kinds  map[Kind]*baseline
}

// baseline is the response time of one kind without congestion.
type baseline struct {
	value float64
	known bool
	// idle and any are the current blocks of statements: those that were sent while the
	// endpoint had few statements in flight, and all.
	idle, any block
	lastSeen  time.Time
}

// block averages a number of weighted values.
type block struct {
	sum, weights float64
	count        int
}

// add adds a value. It returns the mean and true if the block has the given size, and
// then starts the next block.
func (b *block) add(value, weight float64, size int) (float64, bool) {
	b.sum += weight * value
	b.weights += weight
	b.count++
	if b.count < size {
		return 0, false
	}
	mean := b.sum / b.weights
	*b = block{}
	return mean, true
}

// observe updates the baseline of the kind with a response time. congestion is the
// logarithm of the current response times relative to their baselines. It returns the
// response time relative to the baseline, as a logarithm, and the baseline in seconds, or
// false if the baseline is not known yet.
func (b *baselines) observe(now time.Time, kind Kind, took time.Duration, idle bool, congestion float64) (ratio, baseline float64, ok bool) {
	s := b.get(now, kind)
	if s == nil {
		return 0, 0, false
	}
	s.lastSeen = now
	value := math.Log(max(took, time.Microsecond).Seconds())
	if mean, ok := s.any.add(value, 1, b.params.blockSize); ok {
		s.lower(mean, congestion, b.params)
	}
	if idle {
		if mean, ok := s.idle.add(value, 1, b.params.idleBlockSize); ok {
			s.follow(mean, b.params)
		}
	}
	return value - s.value, math.Exp(s.value), s.known
}

// lower applies the mean of a block of statements, sent at any number in flight. A first
// block is corrected by the congestion: a kind that is first seen at a full endpoint would
// otherwise make the congestion look normal.
func (s *baseline) lower(mean, congestion float64, p *params) {
	if !s.known {
		s.value, s.known = mean-p.firstCorrection*max(congestion, 0), true
		return
	}
	if mean < s.value {
		s.follow(mean, p)
	}
}

// follow moves the baseline towards the mean of a block, in large steps if the difference
// is more than chance explains.
func (s *baseline) follow(mean float64, p *params) {
	if !s.known {
		s.value, s.known = mean, true
		return
	}
	weight := p.followWeight
	if math.Abs(mean-s.value) > p.jumpThreshold {
		weight = p.jumpWeight
	}
	if mean > s.value {
		weight *= p.riseShare
	}
	s.value += weight * (mean - s.value)
}

// get returns the baseline of the kind, or nil if there are too many kinds.
func (b *baselines) get(now time.Time, kind Kind) *baseline {
	if s := b.kinds[kind]; s != nil {
		return s
	}
	if len(b.kinds) >= maxKinds {
		for k, s := range b.kinds {
			if now.Sub(s.lastSeen) > kindLifetime {
				delete(b.kinds, k)
			}
		}
	}
	if len(b.kinds) >= maxKinds {
		return nil
	}
	s := &baseline{lastSeen: now}
	b.kinds[kind] = s
	return s
}
