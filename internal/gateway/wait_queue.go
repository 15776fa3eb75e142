package gateway

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// waiter is a session that waits for a connection.
type waiter struct {
	admission.QueuedRequest
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

// waitQueue holds the waiters of a target. Which goes first depends on the time, so
// that it is found when one is taken; a queue holds a few dozen at most.
type waitQueue struct {
	items []*waiter
}

// push adds a waiter.
func (q *waitQueue) push(t admission.QueuedRequest) *waiter {
	w := &waiter{QueuedRequest: t, ready: make(chan grant, 1)}
	q.items = append(q.items, w)
	return w
}

// pop removes the first waiter; nil if there is none.
func (q *waitQueue) pop(now time.Time) *waiter {
	if len(q.items) == 0 {
		return nil
	}
	first := q.items[0]
	for _, w := range q.items[1:] {
		if w.Before(first.QueuedRequest, now) {
			first = w
		}
	}
	q.remove(first)
	return first
}

// remove takes a waiter out. It returns false if the waiter was granted.
func (q *waitQueue) remove(w *waiter) bool {
	i := slices.Index(q.items, w)
	if i < 0 {
		return false
	}
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// ahead counts the waiters that go before the turn.
func (q *waitQueue) ahead(t admission.QueuedRequest, now time.Time) int {
	n := 0
	for _, w := range q.items {
		if w.Before(t, now) {
			n++
		}
	}
	return n
}

func (q *waitQueue) len() int { return len(q.items) }
