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
	// granted is the number of the last grant, so that equal endpoints take turns.
	granted uint64
	// grants counts grants, for the share of aged work.
	grants uint64
}

// run is work that holds a slot.
type run struct {
	work     Work
	started  time.Time
	expected time.Duration
	long     bool
}

// free reports whether a slot can be granted.
func (e *endpoint) free() bool {
	return e.Accepting && len(e.running) < min(e.limit, e.Slots)
}
