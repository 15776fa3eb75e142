package admission

import (
	"math/bits"
	"time"
)

// Dispatch implements Scheduler.
func (s *scheduler) Dispatch(now time.Time) ([]Grant, []Refusal) {
	s.refused = s.expire(now)
	s.beginRound(now)
	var grants []Grant
	for e := s.bestFree(); e != nil; e = s.bestFree() {
		i := s.pick(now, e)
		if i == nil {
			e.tried = s.round
			continue
		}
		i.level.virtual = max(i.level.virtual, i.start)
		s.take(i)
		grants = append(grants, s.slots.grant(now, i, e))
	}
	refusals := s.refused
	s.refused = nil
	return grants, refusals
}

// expire refuses the work whose deadline has passed.
func (s *scheduler) expire(now time.Time) []Refusal {
	var refusals []Refusal
	for i := s.deadlines.first(); i != nil && i.expired(now); i = s.deadlines.first() {
		s.take(i)
		refusals = append(refusals, *s.refuse(now, i, ReasonDeadline))
	}
	return refusals
}

// beginRound starts a round of grants: it raises the limits of endpoints that
// returned, and counts work that outran the short class as long.
func (s *scheduler) beginRound(now time.Time) {
	s.round++
	s.measureLoad(now)
	for _, e := range s.slots.order {
		e.reserved = 0
		e.ramp(now, s.cfg.RampInterval)
		for _, r := range e.running {
			if r.class == short && now.Sub(r.started) > s.cfg.ShortLimit {
				r.class = long
				e.long++
				s.learned.outrun(r.work.Fingerprint)
			}
		}
	}
}

// bestFree returns the endpoint with a free slot that is to be filled first: the
// nearest, with the primary after the replicas, then the one with least load.
func (s *scheduler) bestFree() *endpoint {
	if len(s.waiting) == 0 {
		return nil
	}
	var best *endpoint
	for _, e := range s.slots.order {
		if e.free() && e.tried != s.round && (best == nil || s.before(e, best)) {
			best = e
		}
	}
	return best
}

func (s *scheduler) before(a, b *endpoint) bool {
	if x, y := s.cost(a), s.cost(b); x != y {
		return x < y
	}
	if x, y := a.load(), b.load(); x != y {
		return x < y
	}
	return a.granted < b.granted
}

// cost is the time that an endpoint adds to a read.
func (s *scheduler) cost(e *endpoint) time.Duration {
	if e.Primary {
		return e.Distance + s.cfg.PrimaryPenalty
	}
	return e.Distance
}

// pick returns the work that gets the next slot of the endpoint, or nil.
func (s *scheduler) pick(now time.Time, e *endpoint) *item {
	p := &picker{s: s, e: e, now: now, probes: maxProbes, long: s.longAllowed(e)}
	aged := e.grants%uint64(s.cfg.AgedShare) == 0
	for _, l := range s.levels {
		if i := p.level(l, aged); i != nil {
			return i
		}
	}
	if e.Primary {
		return nil
	}
	return p.pinned()
}

// longAllowed reports whether long work may take a free slot of the endpoint: it
// leaves one slot for short work, or uses the only one while no short work waits.
// An endpoint that returns to use starts with short work.
func (s *scheduler) longAllowed(e *endpoint) bool {
	if e.Slots > 1 {
		return e.long < e.usable()-1
	}
	for _, l := range s.levels {
		if l.occupied[laneSpread][short] != 0 || e.Primary && l.occupied[lanePrimary][short] != 0 {
			return false
		}
	}
	return true
}

// picker looks for work for one slot.
type picker struct {
	s   *scheduler
	e   *endpoint
	now time.Time
	// probes is the amount of work that may still be checked.
	probes int
	// long is true if long work may take the slot.
	long bool
}

// level looks for work of one priority.
func (p *picker) level(l *level, aged bool) *item {
	if aged {
		if i := p.oldest(l); i != nil {
			return i
		}
	}
	if !l.drained() {
		if i := p.drain(l); i != nil {
			return i
		}
	}
	for _, c := range []class{short, long} {
		if c == long && !p.long {
			continue
		}
		if i := p.class(l, c); i != nil {
			return i
		}
	}
	return nil
}

// class looks for the shortest work of a class. The primary serves its own lane
// first, since the other lane has the replicas too; without replicas the lanes
// are equal.
func (p *picker) class(l *level, c class) *item {
	switch {
	case !p.e.Primary:
		return p.shortest(l, c, laneSpread)
	case p.s.slots.accepting(false) == 0:
		return p.shortest(l, c, lanePrimary, laneSpread)
	}
	if i := p.shortest(l, c, lanePrimary); i != nil {
		return i
	}
	return p.shortest(l, c, laneSpread)
}

// shortest goes through the buckets of the lanes from the smallest.
func (p *picker) shortest(l *level, c class, from ...lane) *item {
	var mask uint32
	for _, n := range from {
		mask |= l.occupied[n][c]
	}
	for ; mask != 0 && p.probes > 0; mask &= mask - 1 {
		for _, n := range from {
			if i := p.cell(&l.cells[n][c][bits.TrailingZeros32(mask)]); i != nil {
				return i
			}
		}
	}
	return nil
}

// cell returns the first suitable work of a cell. Work that is not suitable is
// taken out while the rest is checked.
func (p *picker) cell(c *cell) *item {
	var aside []*item
	var found *item
	for found == nil && p.probes > 0 && c.heap.Len() > 0 {
		i := c.heap.first()
		switch {
		case p.suitable(i):
			found = i
		case c.heap.first() == i:
			c.heap.remove(i)
			aside = append(aside, i)
		}
	}
	for _, i := range aside {
		i.level.restore(c, i)
	}
	return found
}

// oldest returns the work that has waited longest, if it has waited longer than
// the age bound. Only the oldest of each queue is checked.
func (p *picker) oldest(l *level) *item {
	var best *item
	for n := range l.ages {
		for c := range l.ages[n] {
			if i := p.firstAged(&l.ages[n][c]); i != nil && (best == nil || byArrival(i, best)) {
				best = i
			}
		}
	}
	return best
}

// firstAged returns the oldest work of one queue if it can have the slot. The
// next oldest is checked only if the oldest has left the queue.
func (p *picker) firstAged(queue *itemHeap) *item {
	for i := queue.first(); i != nil && p.probes > 0; i = queue.first() {
		if p.now.Sub(i.work.Arrived) <= p.s.cfg.AgeBound || !p.fits(i) {
			return nil
		}
		if p.suitable(i) {
			return i
		}
		if queue.first() == i {
			return nil
		}
	}
	return nil
}

// drain returns the work with the earliest deadline of those that waited while
// the primary was replaced.
func (p *picker) drain(l *level) *item {
	var best *item
	for n := range l.drain {
		for c := range l.drain[n] {
			if c == int(long) && !p.long || n == int(lanePrimary) && !p.e.Primary {
				continue
			}
			if i := p.firstDrained(l.drain[n][c]); i != nil && (best == nil || byDeadline(i, best)) {
				best = i
			}
		}
	}
	return best
}

// firstDrained returns the first suitable work of one queue.
func (p *picker) firstDrained(queue []*item) *item {
	for _, i := range queue {
		switch {
		case !i.waiting:
		case p.probes <= 0:
			return nil
		case !p.fits(i):
			p.probes--
		case p.suitable(i):
			return i
		}
	}
	return nil
}

// pinned returns a read that waits for the primary although this replica has
// caught up with it. Reads that were checked go to the end of the list, so that
// all get their turn.
func (p *picker) pinned() *item {
	for range min(maxPinnedProbes, p.s.pinned.Len()) {
		i := p.s.pinned.Front().Value.(*item)
		if (i.class == short || p.longFits(i)) && i.eligible(p.e) {
			return i
		}
		p.s.pinned.MoveToBack(i.pinned)
	}
	return nil
}

// fits reports whether the endpoint serves the item's lane and class.
func (p *picker) fits(i *item) bool {
	return (i.class == short || p.longFits(i)) && (i.lane == laneSpread || p.e.Primary)
}

// suitable reports whether the item can have the slot now. An item that was
// learned to be long meanwhile, or that no replica can run, is moved to its
// proper queue.
func (p *picker) suitable(i *item) bool {
	p.probes--
	if p.s.hopeless(p.now, i) {
		p.s.take(i)
		p.s.refused = append(p.s.refused, *p.s.refuse(p.now, i, ReasonDeadline))
		return false
	}
	if expected, c := p.s.learned.lookup(i.work); c == long && i.class == short {
		p.s.move(i, i.lane, long, expected)
		return false
	}
	if i.class == long && !p.longFits(i) {
		return false
	}
	if !i.eligible(p.e) {
		if !p.e.Primary && p.s.laneOf(i) == lanePrimary {
			p.s.move(i, lanePrimary, i.class, i.expected)
		}
		return false
	}
	return !p.better(i)
}

// better reports whether a read should wait for another endpoint: a long read for
// a replica until it has reached the age bound, even if the replicas still lag
// behind the session; and any read for an endpoint whose
// slots are all held but which answers sooner. At most as much work as that
// endpoint has slots waits for it.
func (p *picker) better(i *item) bool {
	if !i.work.ReadOnly {
		return false
	}
	patient := i.class == long && p.e.Primary && p.now.Sub(i.work.Arrived) <= p.s.cfg.AgeBound
	for _, o := range p.s.slots.order {
		switch {
		case o == p.e || !o.Accepting:
		case patient:
			return true
		case p.sooner(o) && i.eligible(o):
			o.reserved++
			return true
		}
	}
	return false
}

// sooner reports whether one more read should wait for a slot of the endpoint.
func (p *picker) sooner(o *endpoint) bool {
	if o.free() || o.reserved >= o.Slots {
		return false
	}
	return o.nextFree(p.now)+p.s.cost(o) < p.s.cost(p.e)
}
