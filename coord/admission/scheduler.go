package admission

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"slices"
	"time"
)

// NewScheduler returns the scheduler for production use, with these rules:
//   - Higher priorities go first. Within a priority, the shortest expected work of
//     each session goes first, and part of the grants go to work that has waited
//     longer than the aging threshold.
//   - Long work never holds every slot of an endpoint that has several, nor the
//     slots that the short work of the primary or of the replicas needs.
//   - Reads, and long reads above all, go to replicas before the primary.
//   - Work whose expected wait exceeds its deadline is refused when it is enqueued.
//     Expired work is never started. Short work that would end after its deadline
//     is refused when its turn comes.
//   - Work that waited while the primary was replaced starts in deadline order.
func NewScheduler(cfg Config) Scheduler {
	cfg = cfg.withDefaults()
	return &scheduler{
		cfg:          cfg,
		slots:        newSlots(),
		runTimes:     newRunTimeEstimator(cfg),
		deadlines:    itemHeap{less: byDeadline, kind: deadlineHeap},
		waiting:      make(map[uint64]*item),
		primaryReads: list.New(),
		random:       rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

type scheduler struct {
	cfg      Config
	slots    *slots
	runTimes *runTimeEstimator
	// levels are in descending order of priority.
	levels    []*priorityLevel
	deadlines itemHeap
	waiting   map[uint64]*item
	// primaryReads holds the reads of lanePrimary, so that replicas can run them once
	// they have caught up.
	primaryReads *list.List
	random       *rand.Rand
	// primaryLoad and replicaLoad are the mean loads of short work.
	primaryLoad, replicaLoad meanLoad
	sequence                 uint64
	round                    uint64
	// refusals collects the refusals of one call of Dispatch.
	refusals []Refusal
	// primaryAccepting is true if the last SetEndpoints had a primary that accepts work.
	primaryAccepting bool
}

// SetEndpoints implements Scheduler.
func (s *scheduler) SetEndpoints(now time.Time, eps []Endpoint) {
	s.slots.set(now, eps)
	primary := s.slots.countAccepting(true) > 0
	if primary && !s.primaryAccepting {
		for _, l := range s.levels {
			l.collectBacklog()
		}
	}
	s.primaryAccepting = primary
}

// Enqueue implements Scheduler.
func (s *scheduler) Enqueue(now time.Time, w Work) *Refusal {
	s.sequence++
	i := &item{work: w, sequence: s.sequence}
	if i.expired(now) {
		return s.newRefusal(now, i, ReasonDeadline)
	}
	i.expected, i.class = s.runTimes.estimate(w)
	i.level = s.levelOf(w.Priority)
	i.lane = s.laneOf(i)
	i.level.assignBucket(i)
	if s.waitExceedsDeadline(now, i) {
		i.level.undoAssignBucket(i)
		return s.newRefusal(now, i, ReasonExpectedWait)
	}
	s.insert(i)
	return nil
}

// Release implements Scheduler. Failed runs, and runs without a duration, do not
// change the expected run time.
func (s *scheduler) Release(now time.Time, g Grant, ran time.Duration, failed bool) {
	s.measureLoad(now)
	e, r := s.slots.release(g)
	if e == nil || failed || ran <= 0 {
		return
	}
	e.slotLimit = min(e.slotLimit+1, max(e.Slots, e.slotLimit))
	s.runTimes.observe(r.work.Fingerprint, ran)
}

// Remove implements Scheduler.
func (s *scheduler) Remove(id uint64) bool {
	i, ok := s.waiting[id]
	if ok {
		s.dequeue(i)
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
	recheck := now.Add(eligibilityRecheckInterval)
	for _, e := range s.slots.sorted {
		if e.Accepting && len(e.running) < e.Slots && (wake.IsZero() || recheck.Before(wake)) {
			wake = recheck
		}
	}
	return wake
}

// Len implements Scheduler.
func (s *scheduler) Len() int { return len(s.waiting) }

// levelOf returns the level of a priority, and creates it if necessary.
func (s *scheduler) levelOf(priority int) *priorityLevel {
	at, found := slices.BinarySearchFunc(s.levels, priority, func(l *priorityLevel, p int) int {
		return cmp.Compare(p, l.priority)
	})
	if !found {
		s.levels = slices.Insert(s.levels, at, newPriorityLevel(priority))
	}
	return s.levels[at]
}

// laneOf returns the lane of the item: laneReplica for reads that some replica may
// run, lanePrimary for all other work. While no replica accepts work, all reads are in
// laneReplica.
func (s *scheduler) laneOf(i *item) lane {
	if !i.work.ReadOnly {
		return lanePrimary
	}
	result := laneReplica
	for _, e := range s.slots.sorted {
		if e.Primary || !e.Accepting {
			continue
		}
		if i.eligible(e) {
			return laneReplica
		}
		result = lanePrimary
	}
	return result
}

// insert queues an item whose level, lane and bucket are set.
func (s *scheduler) insert(i *item) {
	i.waiting = true
	s.waiting[i.work.ID] = i
	s.deadlines.add(i)
	i.level.insert(i)
	s.listPrimaryRead(i)
}

// listPrimaryRead adds the item to primaryReads if it is a read of lanePrimary.
func (s *scheduler) listPrimaryRead(i *item) {
	if i.lane == lanePrimary && i.work.ReadOnly {
		i.primaryRead = s.primaryReads.PushBack(i)
	}
}

// unlistPrimaryRead removes the item from primaryReads.
func (s *scheduler) unlistPrimaryRead(i *item) {
	if i.primaryRead != nil {
		s.primaryReads.Remove(i.primaryRead)
		i.primaryRead = nil
	}
}

// dequeue removes a waiting item from all queues.
func (s *scheduler) dequeue(i *item) {
	i.waiting = false
	delete(s.waiting, i.work.ID)
	s.deadlines.remove(i)
	i.level.remove(i)
	i.level.leaveSession(i)
	s.unlistPrimaryRead(i)
}

// move changes the lane, the class and the expected run time of a waiting item.
func (s *scheduler) move(i *item, n lane, c class, expected time.Duration) {
	i.level.remove(i)
	s.unlistPrimaryRead(i)
	if expected != i.expected {
		i.bucket = bucketOf(i.virtualStart + expected - i.level.virtualTime)
	}
	i.lane, i.class, i.expected = n, c, expected
	i.level.insert(i)
	s.listPrimaryRead(i)
}
