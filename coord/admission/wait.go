package admission

import "time"

// tooLate reports whether the expected wait exceeds the time to the deadline.
func (s *scheduler) tooLate(now time.Time, i *item) bool {
	if i.work.Deadline.IsZero() {
		return false
	}
	wait := time.Duration(waitMargin * float64(s.expectedWait(now, i)))
	return wait >= i.work.Deadline.Sub(now)
}

// hopeless reports whether short work would not end by its deadline. Running it
// would take the slot from work that still can. The run time of long work is no
// smaller than usual deadlines, so it only has to start in time.
func (s *scheduler) hopeless(now time.Time, i *item) bool {
	if i.class == long || i.work.Deadline.IsZero() {
		return false
	}
	likely := time.Duration(runMargin * float64(i.expected))
	return now.Add(likely).After(i.work.Deadline)
}

// expectedWait estimates how long the item would wait: the expected run time of
// the work that goes first, divided by the slots that can run it, and the time
// until one of those slots is free. The primary serves its own lane first, and
// shares the other lane with the replicas in the time that is left.
func (s *scheduler) expectedWait(now time.Time, i *item) time.Duration {
	p, r := s.capacity(i.class)
	own := s.ahead(i, lanePrimary)
	if i.lane == lanePrimary {
		return own/p + s.nextFree(now, true)
	}
	spread := s.ahead(i, laneSpread)
	wait := (own + spread) / (p + r)
	if r > 0 {
		wait = min(wait, spread/r)
	}
	return wait + s.nextFree(now, false)
}

// ahead sums the work of a lane that goes before the item. Long work does not
// count for short work, since it only uses slots that capacity left out.
func (s *scheduler) ahead(i *item, n lane) time.Duration {
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
			sum += l.ahead(n, long, bucket)
			bucket = bucketCount
		}
		sum += l.ahead(n, short, bucket)
	}
	return sum
}

// capacity returns the slots of the primary (at least 1) and of the replicas that
// work of the class can use. While the primary is being replaced its slots count
// as if it accepted work, since the queue is to be short enough when it does.
func (s *scheduler) capacity(c class) (primary, replicas time.Duration) {
	most := 0
	for _, e := range s.slots.order {
		n := e.capacity(c)
		most = max(most, n)
		switch {
		case e.Primary:
			primary += time.Duration(n)
		case e.Accepting:
			replicas += time.Duration(n)
		}
	}
	if c == long {
		primary = min(primary, time.Duration(max(s.longLimit(true), 1)))
		replicas = min(replicas, time.Duration(max(s.longLimit(false), 1)))
	}
	if primary == 0 {
		primary = time.Duration(max(most, 1))
	}
	return primary, replicas
}

// capacity returns the slots that work of the class can use.
func (e *endpoint) capacity(c class) int {
	if c == long {
		return max(e.Slots-1, min(e.Slots, 1))
	}
	return max(e.Slots-e.long, min(e.Slots, 1))
}

// nextFree estimates when a slot becomes free, on the primary or anywhere.
func (s *scheduler) nextFree(now time.Time, primaryOnly bool) time.Duration {
	var least time.Duration
	found := false
	for _, e := range s.slots.order {
		if !e.Accepting || primaryOnly && !e.Primary {
			continue
		}
		if wait := e.nextFree(now); !found || wait < least {
			least, found = wait, true
		}
	}
	return least
}

// refuse makes a refusal with a retry hint: the time by which the wait is too
// long, with jitter from half to one and a half, so that callers that were
// refused together do not return together.
func (s *scheduler) refuse(now time.Time, i *item, reason Reason) *Refusal {
	var excess time.Duration
	if i.level != nil && !i.work.Deadline.IsZero() {
		excess = s.expectedWait(now, i) - max(i.work.Deadline.Sub(now), 0)
	}
	base := min(max(excess, minRetryAfter), maxRetryAfter)
	jitter := 0.5 + s.random.Float64()
	return &Refusal{Work: i.work, Reason: reason, RetryAfter: time.Duration(jitter * float64(base))}
}
