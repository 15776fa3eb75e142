package admission

import (
	"math/bits"
	"time"
)

// Dispatch implements Scheduler.
func (s *scheduler) Dispatch(now time.Time) ([]Grant, []Refusal) {
	s.refusals = s.expire(now)
	s.beginRound(now)
	var grants []Grant
	for e := s.bestFreeEndpoint(); e != nil; e = s.bestFreeEndpoint() {
		i := s.pickWork(now, e)
		if i == nil {
			e.triedRound = s.round
			continue
		}
		i.level.virtualTime = max(i.level.virtualTime, i.virtualStart)
		s.dequeue(i)
		grants = append(grants, s.slots.grant(now, i, e))
	}
	refusals := s.refusals
	s.refusals = nil
	return grants, refusals
}

// expire refuses all waiting work whose deadline has passed.
func (s *scheduler) expire(now time.Time) []Refusal {
	var refusals []Refusal
	for i := s.deadlines.first(); i != nil && i.expired(now); i = s.deadlines.first() {
		s.dequeue(i)
		refusals = append(refusals, *s.newRefusal(now, i, ReasonDeadline))
	}
	return refusals
}

// beginRound starts a round of grants. It raises the slot limits of endpoints that
// accept work again, and moves runs that exceed the threshold to the long class.
func (s *scheduler) beginRound(now time.Time) {
	s.round++
	s.measureLoad(now)
	for _, e := range s.slots.sorted {
		e.reservedReads = 0
		e.rampUp(now, s.cfg.RampInterval)
		for _, r := range e.running {
			if r.class == short && now.Sub(r.started) > s.cfg.LongThreshold {
				r.class = long
				e.longRunning++
				s.runTimes.markLong(r.work.Fingerprint)
			}
		}
	}
}

// bestFreeEndpoint returns the endpoint with a free slot that gets work first: the
// one with the lowest cost, among equals the one with the lowest utilization. It
// leaves out the endpoints for which this round found no work.
func (s *scheduler) bestFreeEndpoint() *endpoint {
	if len(s.waiting) == 0 {
		return nil
	}
	var best *endpoint
	for _, e := range s.slots.sorted {
		if e.hasFreeSlot() && e.triedRound != s.round && (best == nil || s.preferEndpoint(e, best)) {
			best = e
		}
	}
	return best
}

// preferEndpoint reports whether a gets work before b.
func (s *scheduler) preferEndpoint(a, b *endpoint) bool {
	if x, y := s.cost(a), s.cost(b); x != y {
		return x < y
	}
	if x, y := a.utilization(), b.utilization(); x != y {
		return x < y
	}
	return a.lastGrant < b.lastGrant
}

// cost returns the time that the endpoint adds to a read: its distance, and a
// penalty on the primary.
func (s *scheduler) cost(e *endpoint) time.Duration {
	if e.Primary {
		return e.Distance + s.cfg.PrimaryPenalty
	}
	return e.Distance
}

// pickWork returns the work that gets the next slot of the endpoint, or nil if no
// work can have it.
func (s *scheduler) pickWork(now time.Time, e *endpoint) *item {
	p := &picker{scheduler: s, endpoint: e, now: now, probesLeft: maxProbes, longAllowed: s.longAllowed(e)}
	aged := e.grantCount%uint64(s.cfg.AgedGrantInterval) == 0
	for _, l := range s.levels {
		if i := p.fromLevel(l, aged); i != nil {
			return i
		}
	}
	if e.Primary {
		return nil
	}
	return p.fromPrimaryReads()
}

// longAllowed reports whether long work may take a free slot of the endpoint. Long
// work leaves one slot to short work; it may use the only slot of an endpoint while
// no short work waits. An endpoint that accepts work again therefore starts with
// short work.
func (s *scheduler) longAllowed(e *endpoint) bool {
	if e.Slots > 1 {
		return e.longRunning < e.usableSlots()-1
	}
	for _, l := range s.levels {
		if l.occupied[laneReplica][short] != 0 || e.Primary && l.occupied[lanePrimary][short] != 0 {
			return false
		}
	}
	return true
}

// picker looks for work for one slot.
type picker struct {
	scheduler *scheduler
	endpoint  *endpoint
	now       time.Time
	// probesLeft is the number of items that may still be checked.
	probesLeft int
	// longAllowed is true if long work may take the slot.
	longAllowed bool
}

// fromLevel returns the work of one priority that gets the slot, or nil: aged work if
// its turn has come, then work that waited for a new primary, then the shortest.
func (p *picker) fromLevel(l *priorityLevel, aged bool) *item {
	if aged {
		if i := p.oldest(l); i != nil {
			return i
		}
	}
	if !l.trimBacklog() {
		if i := p.fromBacklog(l); i != nil {
			return i
		}
	}
	for _, c := range []class{short, long} {
		if c == long && !p.longAllowed {
			continue
		}
		if i := p.fromClass(l, c); i != nil {
			return i
		}
	}
	return nil
}

// fromClass returns the shortest work of a class, or nil. The primary serves its own
// lane first, since replicas serve the other one too. While no replica accepts work,
// the primary treats both lanes alike.
func (p *picker) fromClass(l *priorityLevel, c class) *item {
	switch {
	case !p.endpoint.Primary:
		return p.shortest(l, c, laneReplica)
	case p.scheduler.slots.countAccepting(false) == 0:
		return p.shortest(l, c, lanePrimary, laneReplica)
	}
	if i := p.shortest(l, c, lanePrimary); i != nil {
		return i
	}
	return p.shortest(l, c, laneReplica)
}

// shortest returns the first runnable work of the lanes, by increasing bucket.
func (p *picker) shortest(l *priorityLevel, c class, lanes ...lane) *item {
	var mask uint32
	for _, n := range lanes {
		mask |= l.occupied[n][c]
	}
	for ; mask != 0 && p.probesLeft > 0; mask &= mask - 1 {
		for _, n := range lanes {
			if i := p.fromBucket(&l.buckets[n][c][bits.TrailingZeros32(mask)]); i != nil {
				return i
			}
		}
	}
	return nil
}

// fromBucket returns the first runnable work of a bucket. Work that cannot run now is
// taken out of the heap while the rest is checked, and put back afterwards.
func (p *picker) fromBucket(q *bucketQueue) *item {
	var skipped []*item
	var found *item
	for found == nil && p.probesLeft > 0 && q.heap.Len() > 0 {
		i := q.heap.first()
		switch {
		case p.canRunNow(i):
			found = i
		case q.heap.first() == i:
			q.heap.remove(i)
			skipped = append(skipped, i)
		}
	}
	for _, i := range skipped {
		i.level.reinsert(q, i)
	}
	return found
}

// oldest returns the work that has waited longest, if that is longer than the aging
// threshold. It checks only the oldest work of each queue.
func (p *picker) oldest(l *priorityLevel) *item {
	var best *item
	for n := range l.byAge {
		for c := range l.byAge[n] {
			if i := p.firstAged(&l.byAge[n][c]); i != nil && (best == nil || byArrival(i, best)) {
				best = i
			}
		}
	}
	return best
}

// firstAged returns the oldest work of one queue if it is aged and can have the slot.
// The next oldest is checked only if the check removed the oldest from the queue.
func (p *picker) firstAged(queue *itemHeap) *item {
	for i := queue.first(); i != nil && p.probesLeft > 0; i = queue.first() {
		if p.now.Sub(i.work.Arrived) <= p.scheduler.cfg.AgingThreshold || !p.servesLaneAndClass(i) {
			return nil
		}
		if p.canRunNow(i) {
			return i
		}
		if queue.first() == i {
			return nil
		}
	}
	return nil
}

// fromBacklog returns the work with the earliest deadline among the work that waited
// while the primary was replaced.
func (p *picker) fromBacklog(l *priorityLevel) *item {
	var best *item
	for n := range l.backlog {
		for c := range l.backlog[n] {
			if c == int(long) && !p.longAllowed || n == int(lanePrimary) && !p.endpoint.Primary {
				continue
			}
			if i := p.firstInBacklog(l.backlog[n][c]); i != nil && (best == nil || byDeadline(i, best)) {
				best = i
			}
		}
	}
	return best
}

// firstInBacklog returns the first runnable work of one backlog queue.
func (p *picker) firstInBacklog(queue []*item) *item {
	for _, i := range queue {
		switch {
		case !i.waiting:
		case p.probesLeft <= 0:
			return nil
		case !p.servesLaneAndClass(i):
			p.probesLeft--
		case p.canRunNow(i):
			return i
		}
	}
	return nil
}

// fromPrimaryReads returns a read that waits for the primary although this replica
// has caught up with what the read must see. Reads that were checked move to the end
// of the list, so that each of them is checked in turn.
func (p *picker) fromPrimaryReads() *item {
	for range min(maxPrimaryReadProbes, p.scheduler.primaryReads.Len()) {
		i := p.scheduler.primaryReads.Front().Value.(*item)
		if (i.class == short || p.mayRunLong(i)) && i.eligible(p.endpoint) {
			return i
		}
		p.scheduler.primaryReads.MoveToBack(i.primaryRead)
	}
	return nil
}

// servesLaneAndClass reports whether the endpoint serves the item's lane and class.
func (p *picker) servesLaneAndClass(i *item) bool {
	return (i.class == short || p.mayRunLong(i)) && (i.lane == laneReplica || p.endpoint.Primary)
}

// canRunNow reports whether the item can have the slot now. It refuses an item that
// would end after its deadline. It moves an item whose statement has proved to be
// long since it was queued, or that no replica may run any more, to the queue where
// it belongs.
func (p *picker) canRunNow(i *item) bool {
	p.probesLeft--
	if p.scheduler.cannotFinishInTime(p.now, i) {
		p.scheduler.dequeue(i)
		p.scheduler.refusals = append(p.scheduler.refusals, *p.scheduler.newRefusal(p.now, i, ReasonDeadline))
		return false
	}
	if expected, c := p.scheduler.runTimes.estimate(i.work); c == long && i.class == short {
		p.scheduler.move(i, i.lane, long, expected)
		return false
	}
	if i.class == long && !p.mayRunLong(i) {
		return false
	}
	if !i.eligible(p.endpoint) {
		if !p.endpoint.Primary && p.scheduler.laneOf(i) == lanePrimary {
			p.scheduler.move(i, lanePrimary, i.class, i.expected)
		}
		return false
	}
	return !p.shouldWait(i)
}

// shouldWait reports whether a read should wait for another endpoint. A long read
// waits for a replica until it has reached the aging threshold, even if the replicas
// still lag behind the session. Any read waits for an endpoint whose slots are all
// held but which is expected to start it sooner; at most as many reads wait for such
// an endpoint as it has slots.
func (p *picker) shouldWait(i *item) bool {
	if !i.work.ReadOnly {
		return false
	}
	waitsForReplica := i.class == long && p.endpoint.Primary && p.now.Sub(i.work.Arrived) <= p.scheduler.cfg.AgingThreshold
	for _, o := range p.scheduler.slots.sorted {
		switch {
		case o == p.endpoint || !o.Accepting:
		case waitsForReplica:
			return true
		case p.worthWaitingFor(o) && i.eligible(o):
			o.reservedReads++
			return true
		}
	}
	return false
}

// worthWaitingFor reports whether one more read should wait for a slot of the
// endpoint o, because a slot there is expected to cost less time than the free one.
func (p *picker) worthWaitingFor(o *endpoint) bool {
	if o.hasFreeSlot() || o.reservedReads >= o.Slots {
		return false
	}
	return o.timeToFreeSlot(p.now)+p.scheduler.cost(o) < p.scheduler.cost(p.endpoint)
}
