package admission

import (
	"math"
	"time"
)

const (
	// loadWindow is the time constant of the mean short load. It is longer than a
	// burst of a few statements and shorter than the rise of a peak.
	loadWindow = 2 * time.Second
	// primaryHeadroom and replicaHeadroom are the multiples of the mean short load
	// that are left free of long work. Short work can leave a replica but not the
	// primary. With 1.5 for replicas too, long reads at 3 times the co-operative's
	// usual load waited so long that they took the primary, and the p99 of short
	// work rose from about 30 to between 54 and 181 ms in the simulation.
	primaryHeadroom = 1.5
	replicaHeadroom = 1.2
	// lagPatience is the multiple of the age bound for which a long read waits for
	// the replicas to catch up if short work leaves no room on the primary: 2 s at
	// the default bound, the usual lag of Lindqvist's replicas. With 1, a long read
	// on the primary at 3 times the usual load raised the p99 of short work from
	// 18 to 72 ms in the simulation.
	lagPatience = 4
)

// load is the mean number of slots that short work holds.
type load struct {
	mean float64
	at   time.Time
}

// add accounts for the time since the last event, in which held slots were held.
func (l *load) add(now time.Time, held int) {
	if !l.at.IsZero() && now.After(l.at) {
		l.mean += (float64(held) - l.mean) * (1 - math.Exp(-float64(now.Sub(l.at))/float64(loadWindow)))
	}
	l.at = now
}

// share is a part of the group within which short work can move: the primary, or
// the replicas together.
type share struct {
	slots, long, short int
}

// share sums up the endpoints of one role that accept work.
func (s *scheduler) share(primary bool) share {
	var sum share
	for _, e := range s.slots.order {
		if e.Accepting && e.Primary == primary {
			sum.slots += e.Slots
			sum.long += e.long
			sum.short += len(e.running) - e.long
		}
	}
	return sum
}

// measureLoad updates the short loads; it is called before slots change hands.
func (s *scheduler) measureLoad(now time.Time) {
	s.primaryLoad.add(now, s.share(true).short)
	s.replicaLoad.add(now, s.share(false).short)
}

// longLimit returns how many slots of the share long work may hold: what the
// short load leaves.
func (s *scheduler) longLimit(primary bool) int {
	needed := replicaHeadroom * s.replicaLoad.mean
	if primary {
		needed = primaryHeadroom * s.primaryLoad.mean
	}
	return int(float64(s.share(primary).slots) - needed)
}

// longFits reports whether long work may take a slot of the endpoint. If short
// work leaves no room, work beyond the age bound still gets one slot of the
// replicas, or of the primary if only the primary can run it now.
func (p *picker) longFits(i *item) bool {
	held := p.s.share(p.e.Primary).long
	switch {
	case !p.long:
		return false
	case held < p.s.longLimit(p.e.Primary):
		return true
	case held > 0:
		return false
	}
	waited := p.now.Sub(i.work.Arrived)
	if !p.e.Primary || !i.work.ReadOnly || p.s.slots.accepting(false) == 0 {
		return waited > p.s.cfg.AgeBound
	}
	return waited > lagPatience*p.s.cfg.AgeBound && p.s.laneOf(i) == lanePrimary
}
