package confirm

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// endpoint holds what one endpoint answered in the Tracker's term.
type endpoint struct {
	received    logpos.Position
	pollStarted time.Time
}

// observe keeps the largest position and the start of the latest poll. Within one term an
// endpoint's log only grows, so a smaller position comes from an answer that arrived after
// a later one.
func (e *endpoint) observe(term uint64, received logpos.Position, started time.Time) {
	if received.Term == term {
		e.received = logpos.Max(e.received, received)
	}
	if started.After(e.pollStarted) {
		e.pollStarted = started
	}
}
