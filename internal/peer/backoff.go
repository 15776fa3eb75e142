package peer

import (
	"math/rand/v2"
	"time"
)

// Limits of the time between two dials to one address after a failure.
const (
	minDialDelay = 25 * time.Millisecond
	maxDialDelay = 500 * time.Millisecond
)

// dialDelay grows the time between dials to one address while they fail.
type dialDelay struct {
	delay time.Duration
	until time.Time
	cause error
}

// failed records a failed dial. The delay is jittered so that entries don't dial
// a restarted owner at the same moment.
func (d *dialDelay) failed(now time.Time, cause error) {
	d.delay = min(max(2*d.delay, minDialDelay), maxDialDelay)
	d.until = now.Add(d.delay/2 + rand.N(d.delay/2))
	d.cause = cause
}

// waiting reports whether the next dial must wait.
func (d *dialDelay) waiting(now time.Time) bool { return now.Before(d.until) }
