package admission

import "time"

// endpoint is an Endpoint with the work that holds its slots.
type endpoint struct {
	Endpoint
	running map[uint64]*run
	// longRunning counts the running work of the long class.
	longRunning int
	// slotLimit is the number of slots that may be used now. It starts at 1 when the
	// endpoint accepts work again and then rises to Slots.
	slotLimit int
	// limitRaisedAt is when rampUp last raised slotLimit.
	limitRaisedAt time.Time
	// lastGrant is the number of the endpoint's last grant in the group. Among equal
	// endpoints the one with the lowest number goes first, so that they take turns.
	lastGrant uint64
	// grantCount counts the endpoint's grants; see Config.AgedGrantInterval.
	grantCount uint64
	// triedRound is the last round of grants that found no work for the endpoint.
	triedRound uint64
	// reservedReads counts the reads that, in this round, wait for this endpoint
	// although another one has a free slot.
	reservedReads int
}

// run is work that holds a slot.
type run struct {
	work     Work
	started  time.Time
	expected time.Duration
	class    class
}

func (e *endpoint) usableSlots() int { return min(e.slotLimit, e.Slots) }

// hasFreeSlot reports whether a slot can be granted.
func (e *endpoint) hasFreeSlot() bool { return e.Accepting && len(e.running) < e.usableSlots() }

// utilization returns the share of the slots that is held.
func (e *endpoint) utilization() float64 { return float64(len(e.running)) / float64(max(e.Slots, 1)) }

// rampUp raises slotLimit by one for each interval that has passed.
func (e *endpoint) rampUp(now time.Time, interval time.Duration) {
	for e.slotLimit < e.Slots && now.Sub(e.limitRaisedAt) >= interval {
		e.slotLimit++
		e.limitRaisedAt = e.limitRaisedAt.Add(interval)
	}
}

// timeToFreeSlot estimates how long it takes until a slot is free.
func (e *endpoint) timeToFreeSlot(now time.Time) time.Duration {
	if e.hasFreeSlot() {
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

// remaining estimates how long the run still holds its slot. A run that has exceeded
// its expected time is expected to take as long again as it has taken so far.
func (r *run) remaining(now time.Time) time.Duration {
	elapsed := now.Sub(r.started)
	if elapsed > r.expected {
		return elapsed
	}
	return r.expected - elapsed
}
