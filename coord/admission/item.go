package admission

import (
	"container/list"
	"time"
)

// item is waiting work with its positions in the queues.
type item struct {
	work Work
	// sequence numbers the items in the order of arrival, which equal items keep.
	sequence uint64
	// index holds the item's index in each heap, by kind of heap.
	index [heapKinds]int
	// waiting becomes false when the item is granted, refused or removed.
	waiting bool

	// class follows from Work.LongRunning or from the observed run times.
	class class
	lane  lane
	// expected is the expected run time. bucket is the bucket of that time plus the
	// expected run time of the session's work that goes first.
	expected time.Duration
	bucket   int
	// virtualStart is the item's start in virtual time (fair queuing between
	// sessions): when the session's earlier waiting work has ended.
	virtualStart time.Duration
	level        *priorityLevel
	// primaryRead is the item's element in scheduler.primaryReads, or nil.
	primaryRead *list.Element
}

// expired reports whether the work's deadline has passed.
func (i *item) expired(now time.Time) bool {
	return !i.work.Deadline.IsZero() && !now.Before(i.work.Deadline)
}

// eligible reports whether the endpoint may run the work.
func (i *item) eligible(e *endpoint) bool {
	if !i.work.ReadOnly && !e.Primary {
		return false
	}
	return i.work.Eligible == nil || i.work.Eligible(e.Name)
}
