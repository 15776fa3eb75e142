package admission

import (
	"container/list"
	"time"
)

// item is waiting work with its places in the queues.
type item struct {
	work Work
	// sequence numbers offers, so that equal items keep their order of arrival.
	sequence uint64
	// index holds the item's place in each heap, by slot.
	index [heapSlots]int
	// waiting is false once the item was granted, refused or removed.
	waiting bool

	// class is the class by the manifest or by the learned run time.
	class class
	lane  lane
	// expected is the expected run time, and bucket its order of magnitude
	// together with the work of the same session that goes first.
	expected time.Duration
	bucket   int
	// start is the virtual time at which the session's share reaches the item.
	start time.Duration
	level *level
	// pinned is the place in the list of reads that wait for the primary, or nil.
	pinned *list.Element
}

// expired reports whether the work must not start any more.
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
