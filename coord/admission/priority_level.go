package admission

import (
	"math/bits"
	"slices"
	"time"
)

// priorityLevel holds the waiting work of one priority.
type priorityLevel struct {
	priority int
	buckets  [laneCount][classCount][bucketCount]bucketQueue
	// occupied has a bit for each bucket that holds work.
	occupied [laneCount][classCount]uint32
	// byAge holds the same work in the order of arrival.
	byAge [laneCount][classCount]itemHeap
	// sessions holds the sessions with waiting work.
	sessions map[string]*session
	// virtualTime is the highest virtual start of the work that was granted.
	virtualTime time.Duration
	// backlog holds the work that waited while the primary was replaced, in deadline
	// order; hasBacklog is true while some of it still waits.
	backlog    [laneCount][classCount][]*item
	hasBacklog bool
}

// bucketQueue is the waiting work of one lane, class and bucket, with the sum of its
// expected run times.
type bucketQueue struct {
	heap        itemHeap
	expectedSum time.Duration
}

// session is the waiting work of one session at one level.
type session struct {
	waiting int
	// virtualFinish is the virtual time at which the last of that work ends.
	virtualFinish time.Duration
}

func newPriorityLevel(priority int) *priorityLevel {
	l := &priorityLevel{priority: priority, sessions: make(map[string]*session)}
	for n := range l.buckets {
		for c := range l.buckets[n] {
			l.byAge[n][c] = itemHeap{less: byArrival, kind: ageHeap}
			for b := range l.buckets[n][c] {
				l.buckets[n][c][b].heap = itemHeap{less: byVirtualStart, kind: orderHeap}
			}
		}
	}
	return l
}

// byVirtualStart orders items by their virtual start, so that sessions share fairly.
func byVirtualStart(a, b *item) bool {
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.sequence < b.sequence
}

// assignBucket sets the item's virtual start and bucket. The bucket includes the
// waiting work of the same session, so that a session with much waiting work does not
// delay the first work of others.
func (l *priorityLevel) assignBucket(i *item) {
	s := l.sessions[i.work.Session]
	if s == nil {
		s = &session{}
		l.sessions[i.work.Session] = s
	}
	s.waiting++
	i.virtualStart = max(l.virtualTime, s.virtualFinish)
	s.virtualFinish = i.virtualStart + i.expected
	i.bucket = bucketOf(s.virtualFinish - l.virtualTime)
}

// undoAssignBucket reverts assignBucket for work that is refused.
func (l *priorityLevel) undoAssignBucket(i *item) {
	l.sessions[i.work.Session].virtualFinish = i.virtualStart
	l.leaveSession(i)
}

// leaveSession removes the item from its session's count.
func (l *priorityLevel) leaveSession(i *item) {
	s := l.sessions[i.work.Session]
	s.waiting--
	if s.waiting == 0 {
		delete(l.sessions, i.work.Session)
	}
}

// insert adds the item to the queues of its lane, class and bucket.
func (l *priorityLevel) insert(i *item) {
	q := &l.buckets[i.lane][i.class][i.bucket]
	q.heap.add(i)
	q.expectedSum += i.expected
	l.occupied[i.lane][i.class] |= 1 << i.bucket
	l.byAge[i.lane][i.class].add(i)
}

// remove reverts insert.
func (l *priorityLevel) remove(i *item) {
	q := &l.buckets[i.lane][i.class][i.bucket]
	q.heap.remove(i)
	q.expectedSum -= i.expected
	if q.heap.Len() == 0 {
		l.occupied[i.lane][i.class] &^= 1 << i.bucket
	}
	l.byAge[i.lane][i.class].remove(i)
}

// expectedUpTo sums the expected run times of one lane and class in the buckets up to
// and including the given one.
func (l *priorityLevel) expectedUpTo(n lane, c class, bucket int) time.Duration {
	var sum time.Duration
	for mask := l.occupied[n][c]; mask != 0; mask &= mask - 1 {
		b := bits.TrailingZeros32(mask)
		if b > bucket {
			break
		}
		sum += l.buckets[n][c][b].expectedSum
	}
	return sum
}

// reinsert puts an item back into the bucket that fromBucket took it from.
func (l *priorityLevel) reinsert(q *bucketQueue, i *item) {
	q.heap.add(i)
	l.occupied[i.lane][i.class] |= 1 << i.bucket
}

// collectBacklog makes all waiting work the backlog, in deadline order.
func (l *priorityLevel) collectBacklog() {
	l.hasBacklog = true
	for n := range l.byAge {
		for c := range l.byAge[n] {
			queue := slices.Clone(l.byAge[n][c].items)
			slices.SortFunc(queue, compareDeadlines)
			l.backlog[n][c] = queue
		}
	}
}

// trimBacklog drops work that no longer waits from the heads of the backlog queues,
// and reports whether the backlog is empty.
func (l *priorityLevel) trimBacklog() bool {
	if !l.hasBacklog {
		return true
	}
	l.hasBacklog = false
	for n := range l.backlog {
		for c, queue := range l.backlog[n] {
			for len(queue) > 0 && !queue[0].waiting {
				queue = queue[1:]
			}
			l.backlog[n][c] = queue
			l.hasBacklog = l.hasBacklog || len(queue) > 0
		}
	}
	return !l.hasBacklog
}

func compareDeadlines(a, b *item) int {
	if byDeadline(a, b) {
		return -1
	}
	return 1
}
