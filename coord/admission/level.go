package admission

import (
	"math/bits"
	"slices"
	"time"
)

// level holds the waiting work of one priority.
type level struct {
	priority int
	cells    [lanes][classes][bucketCount]cell
	// occupied has a bit for each bucket with work.
	occupied [lanes][classes]uint32
	ages     [lanes][classes]itemHeap
	// sessions holds the sessions with waiting work.
	sessions map[string]*session
	// virtual is the virtual time of the last grant.
	virtual time.Duration
	// drain holds the work that waited while the primary was replaced, by
	// deadline; draining is true while some of it still waits.
	drain    [lanes][classes][]*item
	draining bool
}

// cell is the work of one lane, class and bucket.
type cell struct {
	heap itemHeap
	sum  time.Duration
}

// session is the waiting work of one session at one level.
type session struct {
	waiting int
	// finish is the virtual time at which the session's waiting work ends.
	finish time.Duration
}

func newLevel(priority int) *level {
	l := &level{priority: priority, sessions: make(map[string]*session)}
	for n := range l.cells {
		for c := range l.cells[n] {
			l.ages[n][c] = itemHeap{less: byArrival, slot: slotAge}
			for b := range l.cells[n][c] {
				l.cells[n][c][b].heap = itemHeap{less: byStart, slot: slotOrder}
			}
		}
	}
	return l
}

// byStart orders items by their session's share.
func byStart(a, b *item) bool {
	if a.start != b.start {
		return a.start < b.start
	}
	return a.sequence < b.sequence
}

// place gives the item its share and bucket. The bucket counts the waiting work
// of the same session, so that a session with much waiting work does not hold up
// the first work of others.
func (l *level) place(i *item) {
	s := l.sessions[i.work.Session]
	if s == nil {
		s = &session{}
		l.sessions[i.work.Session] = s
	}
	s.waiting++
	i.start = max(l.virtual, s.finish)
	s.finish = i.start + i.expected
	i.bucket = bucketOf(s.finish - l.virtual)
}

// displace undoes place for work that was refused.
func (l *level) displace(i *item) {
	l.sessions[i.work.Session].finish = i.start
	l.leave(i)
}

// leave takes the item out of its session's count.
func (l *level) leave(i *item) {
	s := l.sessions[i.work.Session]
	s.waiting--
	if s.waiting == 0 {
		delete(l.sessions, i.work.Session)
	}
}

// insert queues the item by its lane, class and bucket.
func (l *level) insert(i *item) {
	c := &l.cells[i.lane][i.class][i.bucket]
	c.heap.add(i)
	c.sum += i.expected
	l.occupied[i.lane][i.class] |= 1 << i.bucket
	l.ages[i.lane][i.class].add(i)
}

// extract undoes insert.
func (l *level) extract(i *item) {
	c := &l.cells[i.lane][i.class][i.bucket]
	c.heap.remove(i)
	c.sum -= i.expected
	if c.heap.Len() == 0 {
		l.occupied[i.lane][i.class] &^= 1 << i.bucket
	}
	l.ages[i.lane][i.class].remove(i)
}

// ahead sums the expected run time of one lane and class up to the bucket.
func (l *level) ahead(n lane, c class, bucket int) time.Duration {
	var sum time.Duration
	for mask := l.occupied[n][c]; mask != 0; mask &= mask - 1 {
		b := bits.TrailingZeros32(mask)
		if b > bucket {
			break
		}
		sum += l.cells[n][c][b].sum
	}
	return sum
}

// restore puts an item back into its cell.
func (l *level) restore(c *cell, i *item) {
	c.heap.add(i)
	l.occupied[i.lane][i.class] |= 1 << i.bucket
}

// beginDrain collects all waiting work in deadline order.
func (l *level) beginDrain() {
	l.draining = true
	for n := range l.ages {
		for c := range l.ages[n] {
			queue := slices.Clone(l.ages[n][c].items)
			slices.SortFunc(queue, compareDeadlines)
			l.drain[n][c] = queue
		}
	}
}

// drained drops the work at the heads that does not wait any more, and reports
// whether none is left.
func (l *level) drained() bool {
	if !l.draining {
		return true
	}
	l.draining = false
	for n := range l.drain {
		for c, queue := range l.drain[n] {
			for len(queue) > 0 && !queue[0].waiting {
				queue = queue[1:]
			}
			l.drain[n][c] = queue
			l.draining = l.draining || len(queue) > 0
		}
	}
	return !l.draining
}

func compareDeadlines(a, b *item) int {
	if byDeadline(a, b) {
		return -1
	}
	return 1
}
