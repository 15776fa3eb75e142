package admission

import "time"

// endpoint is an endpoint with the slots that are held.
type endpoint struct {
	Endpoint
	running map[uint64]*run
	// long counts the running work that is long.
	long int
	// limit is the number of slots that may be used now; it is below Slots while
	// an endpoint that was not accepting returns to full use.
	limit int
	// raised is when the limit was last raised by time.
	raised time.Time
	// granted is the number of the last grant, so that equal endpoints take turns.
	granted uint64
	// grants counts grants, for the share of aged work.
	grants uint64
	// tried is the number of the last round of grants that found no work.
	tried uint64
	// reserved is the work of this round that waits for this endpoint although
	// another one is free.
	reserved int
}

// run is work that holds a slot.
type run struct {
	work     Work
	started  time.Time
	expected time.Duration
	class    class
}

// usable returns the number of slots that may be used now.
func (e *endpoint) usable() int { return min(e.limit, e.Slots) }

// free reports whether a slot can be granted.
func (e *endpoint) free() bool { return e.Accepting && len(e.running) < e.usable() }

// load returns the share of the slots that is held.
func (e *endpoint) load() float64 { return float64(len(e.running)) / float64(max(e.Slots, 1)) }

// ramp raises the limit by one slot for each interval that has passed.
func (e *endpoint) ramp(now time.Time, interval time.Duration) {
	for e.limit < e.Slots && now.Sub(e.raised) >= interval {
		e.limit++
		e.raised = e.raised.Add(interval)
	}
}

// nextFree estimates when a slot becomes free.
func (e *endpoint) nextFree(now time.Time) time.Duration {
	if e.free() {
		return 0
	}
	var least time.Duration
	for _, r := range e.running {
		if left := r.remaining(now); least == 0 || left < least {
			least = left
		}
	}
	return least
}

// remaining estimates how long the run still holds its slot. A run that has
// outlasted its expected time is expected to take as long again.
func (r *run) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(r.started)
	if elapsed > r.expected {
		return elapsed
	}
	return r.expected - elapsed
}
