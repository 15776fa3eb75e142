package gateway

import (
	"container/heap"
	"time"
)

// waiter is a session that waits for a connection.
type waiter struct {
	priority int
	// arrived is when the statement arrived at the host, so that a statement which
	// looks for another endpoint keeps its place.
	arrived time.Time
	index   int
	// ready receives a connection, or nil with the right to open one.
	ready chan grant
}

// grant ends a wait for a connection.
type grant struct {
	conn *conn
	// open allows the waiter to open a connection, which is counted already.
	open bool
	err  error
}

// waitQueue orders waiters by priority, then by arrival.
type waitQueue struct {
	items waitHeap
}

// push adds a waiter.
func (q *waitQueue) push(priority int, arrived time.Time) *waiter {
	w := &waiter{priority: priority, arrived: arrived, ready: make(chan grant, 1)}
	heap.Push(&q.items, w)
	return w
}

// pop removes the first waiter; nil if there is none.
func (q *waitQueue) pop() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return heap.Pop(&q.items).(*waiter)
}

// remove takes a waiter out. It returns false if the waiter was granted.
func (q *waitQueue) remove(w *waiter) bool {
	if w.index < 0 {
		return false
	}
	heap.Remove(&q.items, w.index)
	return true
}

func (q *waitQueue) len() int { return len(q.items) }

// waitHeap implements heap.Interface.
type waitHeap []*waiter

func (h waitHeap) Len() int { return len(h) }

func (h waitHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].arrived.Before(h[j].arrived)
}

func (h waitHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	*h = old[:len(old)-1]
	w.index = -1
	return w
}
