package admission

import "time"

// waitExceedsDeadline reports whether the expected wait, with its margin, exceeds the
// time to the deadline.
func (s *scheduler) waitExceedsDeadline(now time.Time, i *item) bool {
	if i.work.Deadline.IsZero() {
		return false
	}
	wait := time.Duration(waitMargin * float64(s.expectedWait(now, i)))
	return wait >= i.work.Deadline.Sub(now)
}

// cannotFinishInTime reports whether short work is expected to end after its deadline.
// Running it would take the slot from work that can still end in time. The run time of
// long work is at least as long as usual deadlines, so long work only has to start in
// time.
func (s *scheduler) cannotFinishInTime(now time.Time, i *item) bool {
	if i.class == long || i.work.Deadline.IsZero() {
		return false
	}
	likely := time.Duration(runMargin * float64(i.expected))
	return now.Add(likely).After(i.work.Deadline)
}

// expectedWait estimates how long the item would wait: the expected run time of the
// work that goes first, divided by the number of slots that can run it, plus the time
// until one of those slots is free. The primary serves its own lane first, and the
// replicas' lane in the time that is left.
func (s *scheduler) expectedWait(now time.Time, i *item) time.Duration {
	p, r := s.capacity(i.class)
	primaryWork := s.workAhead(i, lanePrimary)
	if i.lane == lanePrimary {
		return primaryWork/p + s.timeToFreeSlot(now, true)
	}
	replicaWork := s.workAhead(i, laneReplica)
	wait := (primaryWork + replicaWork) / (p + r)
	if r > 0 {
		wait = min(wait, replicaWork/r)
	}
	return wait + s.timeToFreeSlot(now, false)
}

// workAhead sums the expected run times of the work of a lane that goes before the
// item. For short work, long work does not count, since it uses only slots that
// capacity leaves out.
func (s *scheduler) workAhead(i *item, n lane) time.Duration {
	var sum time.Duration
	for _, l := range s.levels {
		if l.priority < i.level.priority {
			break
		}
		bucket := bucketCount
		if l == i.level {
			bucket = i.bucket
		}
		if i.class == long {
			sum += l.expectedUpTo(n, long, bucket)
			bucket = bucketCount
		}
		sum += l.expectedUpTo(n, short, bucket)
	}
	return sum
}

// capacity returns how many slots of the primary (at least 1) and of the replicas work
// of the class can use. While the primary is being replaced, its slots count as if it
// accepted work, so that the queue is short enough when it does.
func (s *scheduler) capacity(c class) (primary, replicas time.Duration) {
	largest := 0
	for _, e := range s.slots.sorted {
		n := e.capacity(c)
		largest = max(largest, n)
		switch {
		case e.Primary:
			primary += time.Duration(n)
		case e.Accepting:
			replicas += time.Duration(n)
		}
	}
	if c == long {
		primary = min(primary, time.Duration(max(s.maxLongSlots(true), 1)))
		replicas = min(replicas, time.Duration(max(s.maxLongSlots(false), 1)))
	}
	if primary == 0 {
		primary = time.Duration(max(largest, 1))
	}
	return primary, replicas
}

// capacity returns how many slots of the endpoint work of the class can use.
func (e *endpoint) capacity(c class) int {
	if c == long {
		return max(e.Slots-1, min(e.Slots, 1))
	}
	return max(e.Slots-e.longRunning, min(e.Slots, 1))
}

// timeToFreeSlot estimates how long it takes until a slot of the primary, or of any
// endpoint, is free.
func (s *scheduler) timeToFreeSlot(now time.Time, primaryOnly bool) time.Duration {
	var least time.Duration
	found := false
	for _, e := range s.slots.sorted {
		if !e.Accepting || primaryOnly && !e.Primary {
			continue
		}
		if wait := e.timeToFreeSlot(now); !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

// newRefusal returns a refusal with a retry hint: the time by which the expected wait
// exceeds the time to the deadline, within bounds, times a random factor from 0.5 to
// 1.5, so that callers that are refused together do not retry together.
func (s *scheduler) newRefusal(now time.Time, i *item, reason Reason) *Refusal {
	var excess time.Duration
	if i.level != nil && !i.work.Deadline.IsZero() {
		excess = s.expectedWait(now, i) - max(i.work.Deadline.Sub(now), 0)
	}
	base := min(max(excess, minRetryAfter), maxRetryAfter)
	jitter := 0.5 + s.random.Float64()
	return &Refusal{Work: i.work, Reason: reason, RetryAfter: time.Duration(jitter * float64(base))}
}
