package peer

import (
	"math/rand/v2"
	"time"
)

// Bounds of the time between two dials to one address after a failure.
const (
	minDialBackoff = 25 * time.Millisecond
	maxDialBackoff = 500 * time.Millisecond
)

// dialBackoff is the delay before the next dial to one address. It grows with
// each failed dial.
type dialBackoff struct {
	delay    time.Duration
	nextDial time.Time
	lastErr  error
}

// recordFailure records a failed dial. The delay is jittered so that entries do
// not all dial a restarted owner at the same moment.
func (b *dialBackoff) recordFailure(now time.Time, cause error) {
	b.delay = min(max(2*b.delay, minDialBackoff), maxDialBackoff)
	b.nextDial = now.Add(b.delay/2 + rand.N(b.delay/2))
	b.lastErr = cause
}

// active reports whether it is too early for the next dial.
func (b *dialBackoff) active(now time.Time) bool { return now.Before(b.nextDial) }
