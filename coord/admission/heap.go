package admission

import "container/heap"

// Kinds of heaps that an item may be in; item.index has an entry for each.
const (
	orderHeap = iota
	deadlineHeap
	ageHeap
	heapKinds
)

// itemHeap is a heap of items from which any item can be removed, since each item
// knows its index in the heap.
type itemHeap struct {
	items []*item
	less  func(a, b *item) bool
	kind  int
}

// Len implements heap.Interface.
func (h *itemHeap) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *itemHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].index[h.kind] = i
	h.items[j].index[h.kind] = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	i := x.(*item)
	i.index[h.kind] = len(h.items)
	h.items = append(h.items, i)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	last := len(h.items) - 1
	i := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	i.index[h.kind] = -1
	return i
}

func (h *itemHeap) add(i *item) { heap.Push(h, i) }

// remove takes the item out, if it is in this heap.
func (h *itemHeap) remove(i *item) {
	if at := i.index[h.kind]; at >= 0 && at < len(h.items) && h.items[at] == i {
		heap.Remove(h, at)
	}
}

// first returns the smallest item, or nil.
func (h *itemHeap) first() *item {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// byArrival orders items by when they were enqueued.
func byArrival(a, b *item) bool { return a.sequence < b.sequence }

// byDeadline orders items by their deadline; items without one come last.
func byDeadline(a, b *item) bool {
	x, y := a.work.Deadline, b.work.Deadline
	switch {
	case x.Equal(y):
		return a.sequence < b.sequence
	case x.IsZero() || y.IsZero():
		return y.IsZero()
	}
	return x.Before(y)
}
