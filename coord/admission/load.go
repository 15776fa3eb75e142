package admission

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the mean load of short work. It is longer
	// than a burst of a few statements and shorter than the rise of a peak.
	loadWindow = 2 * time.Second
	// primaryHeadroom and replicaHeadroom are the multiples of the mean load of short
	// work that are kept free of long work. The primary needs more, since its short
	// work cannot move to another endpoint. With 1.5 for replicas too, long
	// reads at 3 times the usual load of the co-operative waited so long that they
	// were run on the primary, and the p99 of short work rose from about 30 ms to
	// between 54 and 181 ms in the simulation.
	primaryHeadroom = 1.5
	replicaHeadroom = 1.2
	// lagWaitFactor is how many aging thresholds a long read waits for the replicas to
	// catch up if short work leaves no room on the primary: 2 s at the default
	// threshold, which is the usual lag of Lindqvist's replicas. With 1, a long read on
	// the primary at 3 times the usual load raised the p99 of short work from 18 to
	// 72 ms in the simulation.
	lagWaitFactor = 4
)

// meanLoad is the moving average of the number of slots that short work holds.
type meanLoad struct {
	mean float64
	at   time.Time
}

// update adds the time since the last call, during which the given number of slots
// was held.
func (l *meanLoad) update(now time.Time, held int) {
	if !l.at.IsZero() && now.After(l.at) {
		l.mean += (float64(held) - l.mean) * (1 - math.Exp(-float64(now.Sub(l.at))/float64(loadWindow)))
	}
	l.at = now
}

// slotUsage counts the slots of the primary, or of all replicas together, and how many
// of them long and short work holds. Short work can move between replicas but not away
// from the primary.
type slotUsage struct {
	slots, long, short int
}

// usage returns the slot usage of the endpoints of one role that accept work.
func (s *scheduler) usage(primary bool) slotUsage {
	var sum slotUsage
	for _, e := range s.slots.sorted {
		if e.Accepting && e.Primary == primary {
			sum.slots += e.Slots
			sum.long += e.longRunning
			sum.short += len(e.running) - e.longRunning
		}
	}
	return sum
}

// measureLoad updates the mean loads. It must be called before slots are granted or
// released.
func (s *scheduler) measureLoad(now time.Time) {
	s.primaryLoad.update(now, s.usage(true).short)
	s.replicaLoad.update(now, s.usage(false).short)
}

// maxLongSlots returns how many slots of the primary, or of the replicas, long work may
// hold: those that the mean load of short work and its headroom leave.
func (s *scheduler) maxLongSlots(primary bool) int {
	needed := replicaHeadroom * s.replicaLoad.mean
	if primary {
		needed = primaryHeadroom * s.primaryLoad.mean
	}
	return int(float64(s.usage(primary).slots) - needed)
}

// mayRunLong reports whether long work may take a slot of the endpoint. If short work
// leaves no room, long work above the aging threshold still gets one slot of all the
// replicas, or one of the primary if only the primary can run it now.
func (p *picker) mayRunLong(i *item) bool {
	held := p.scheduler.usage(p.endpoint.Primary).long
	switch {
	case !p.longAllowed:
		return false
	case held < p.scheduler.maxLongSlots(p.endpoint.Primary):
		return true
	case held > 0:
		return false
	}
	waited := p.now.Sub(i.work.Arrived)
	if !p.endpoint.Primary || !i.work.ReadOnly || p.scheduler.slots.countAccepting(false) == 0 {
		return waited > p.scheduler.cfg.AgingThreshold
	}
	return waited > lagWaitFactor*p.scheduler.cfg.AgingThreshold && p.scheduler.laneOf(i) == lanePrimary
}
