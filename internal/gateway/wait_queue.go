package gateway

import (
	"slices"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// waiter is a session that waits for a connection.
type waiter struct {
	connRequest
	// ready receives the connection, the right to open one, or an error.
	ready chan grant
}

// grant ends a waiter's wait.
type grant struct {
	conn *conn
	// mayOpen allows the waiter to open a connection, which is already counted as
	// opening.
	mayOpen bool
	err     error
}

// waitQueue holds the sessions that wait for a connection to one target. Their order
// depends on the time, so the first one is determined when it is taken. A queue holds a
// few dozen waiters at most.
type waitQueue struct {
	waiters []*waiter
}

// push adds a waiter.
func (q *waitQueue) push(r connRequest) *waiter {
	w := &waiter{connRequest: r, ready: make(chan grant, 1)}
	q.waiters = append(q.waiters, w)
	return w
}

// first returns the waiter that goes first, or nil if the queue is empty.
func (q *waitQueue) first(now time.Time) *waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	first := q.waiters[0]
	for _, w := range q.waiters[1:] {
		if w.Before(first.QueuedRequest, now) {
			first = w
		}
	}
	return first
}

// remove removes a waiter. It returns false if the waiter already got a grant.
func (q *waitQueue) remove(w *waiter) bool {
	i := slices.Index(q.waiters, w)
	if i < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, i, i+1)
	return true
}

// countAhead counts the waiters that go before the request.
func (q *waitQueue) countAhead(r admission.QueuedRequest, now time.Time) int {
	n := 0
	for _, w := range q.waiters {
		if w.Before(r, now) {
			n++
		}
	}
	return n
}

func (q *waitQueue) len() int { return len(q.waiters) }
