package admission

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"
)

// NewScheduler returns the current policy:
//   - higher priorities first; within a priority the shortest expected work of
//     each session first, and a share of the grants for work that has waited
//     longer than the age bound;
//   - long work never holds every slot of an endpoint that has several, nor the
//     slots that the short work of the primary or of the replicas needs;
//   - reads go to replicas before the primary, long reads above all;
//   - work whose expected wait exceeds its deadline is refused when it is
//     offered, expired work is never started, and short work that would end
//     after its deadline is refused when its turn comes;
//   - work that waited while the primary was replaced starts in deadline order.
func NewScheduler(cfg Config) Scheduler {
	cfg = cfg.withDefaults()
	return &scheduler{
		cfg:       cfg,
		slots:     newSlots(),
		learned:   newLearned(cfg),
		deadlines: itemHeap{less: byDeadline, slot: slotDeadline},
		waiting:   make(map[uint64]*item),
		pinned:    list.New(),
		random:    rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

type scheduler struct {
	cfg     Config
	slots   *slots
	learned *learned
	// levels are ordered by falling priority.
	levels    []*level
	deadlines itemHeap
	waiting   map[uint64]*item
	// pinned holds the reads of lanePrimary, so that replicas can take them once
	// they have caught up.
	pinned *list.List
	random *rand.Rand
	// primaryLoad and replicaLoad are the short loads.
	primaryLoad, replicaLoad load
	sequence                 uint64
	round                    uint64
	// refused collects the refusals of one call of Dispatch.
	refused []Refusal
	// primary is true if the primary accepted work at the last SetEndpoints.
	primary bool
}

// SetEndpoints implements Scheduler.
func (s *scheduler) SetEndpoints(now time.Time, eps []Endpoint) {
	s.slots.set(now, eps)
	primary := s.slots.accepting(true) > 0
	if primary && !s.primary {
		for _, l := range s.levels {
			l.beginDrain()
		}
	}
	s.primary = primary
}

// Enqueue implements Scheduler.
func (s *scheduler) Enqueue(now time.Time, w Work) *Refusal {
	s.sequence++
	i := &item{work: w, sequence: s.sequence}
	if i.expired(now) {
		return s.refuse(now, i, ReasonDeadline)
	}
	i.expected, i.class = s.learned.lookup(w)
	i.level = s.level(w.Priority)
	i.lane = s.laneOf(i)
	i.level.place(i)
	if s.tooLate(now, i) {
		i.level.displace(i)
		return s.refuse(now, i, ReasonExpectedWait)
	}
	s.insert(i)
	return nil
}

// Release implements Scheduler. Failed runs, and runs without a duration, teach
// nothing about the run time.
func (s *scheduler) Release(now time.Time, g Grant, ran time.Duration, failed bool) {
	s.measureLoad(now)
	e, r := s.slots.release(g)
	if e == nil || failed || ran <= 0 {
		return
	}
	e.limit = min(e.limit+1, max(e.Slots, e.limit))
	s.learned.observe(r.work.Fingerprint, ran)
}

// Remove implements Scheduler.
func (s *scheduler) Remove(id uint64) bool {
	i, ok := s.waiting[id]
	if ok {
		s.take(i)
	}
	return ok
}

// NextWake implements Scheduler.
func (s *scheduler) NextWake(now time.Time) time.Time {
	first := s.deadlines.first()
	if first == nil {
		return time.Time{}
	}
	wake := first.work.Deadline
	recheck := now.Add(eligibilityRecheck)
	for _, e := range s.slots.order {
		if e.Accepting && len(e.running) < e.Slots && (wake.IsZero() || recheck.Before(wake)) {
			wake = recheck
		}
	}
	return wake
}

// Len implements Scheduler.
func (s *scheduler) Len() int { return len(s.waiting) }

// level returns the level of a priority.
func (s *scheduler) level(priority int) *level {
	at, found := slices.BinarySearchFunc(s.levels, priority, func(l *level, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !found {
		s.levels = slices.Insert(s.levels, at, newLevel(priority))
	}
	return s.levels[at]
}

// laneOf tells work that some replica may run from work for the primary. While
// no replica accepts work, reads count as work that replicas may run.
func (s *scheduler) laneOf(i *item) lane {
	if !i.work.ReadOnly {
		return lanePrimary
	}
	result := laneSpread
	for _, e := range s.slots.order {
		if e.Primary || !e.Accepting {
			continue
		}
		if i.eligible(e) {
			return laneSpread
		}
		result = lanePrimary
	}
	return result
}

// insert queues an item that has its place.
func (s *scheduler) insert(i *item) {
	i.waiting = true
	s.waiting[i.work.ID] = i
	s.deadlines.add(i)
	i.level.insert(i)
	s.pin(i)
}

// pin lists a read of lanePrimary.
func (s *scheduler) pin(i *item) {
	if i.lane == lanePrimary && i.work.ReadOnly {
		i.pinned = s.pinned.PushBack(i)
	}
}

// unpin takes the item off the list.
func (s *scheduler) unpin(i *item) {
	if i.pinned != nil {
		s.pinned.Remove(i.pinned)
		i.pinned = nil
	}
}

// take removes a waiting item from all queues.
func (s *scheduler) take(i *item) {
	i.waiting = false
	delete(s.waiting, i.work.ID)
	s.deadlines.remove(i)
	i.level.extract(i)
	i.level.leave(i)
	s.unpin(i)
}

// move changes the lane, the class or the expected run time of a waiting item.
func (s *scheduler) move(i *item, n lane, c class, expected time.Duration) {
	i.level.extract(i)
	s.unpin(i)
	if expected != i.expected {
		i.bucket = bucketOf(i.start + expected - i.level.virtual)
	}
	i.lane, i.class, i.expected = n, c, expected
	i.level.insert(i)
	s.pin(i)
}
