package confirm

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// endpoint is what one endpoint answered in the Tracker's term.
type endpoint struct {
	received logpos.Position
	started  time.Time
}

// observe keeps the largest position and the latest poll. Within one term an
// endpoint's log only grows, so a smaller position is an answer that was
// overtaken by a later one.
func (e *endpoint) observe(term uint64, received logpos.Position, started time.Time) {
	if received.Term == term {
		e.received = logpos.Max(e.received, received)
	}
	if started.After(e.started) {
		e.started = started
	}
}
