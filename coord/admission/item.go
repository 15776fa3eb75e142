package admission

import "time"

// item is waiting work with its places in the heaps.
type item struct {
	work Work
	// sequence numbers offers, so that equal items keep their order of arrival.
	sequence uint64
	// index holds the item's place in each heap, by slot; -1 if it is in none.
	index [heapSlots]int

	// long is true if the manifest or the learned run time says so.
	long bool
	// expected is the expected run time.
	expected time.Duration
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
