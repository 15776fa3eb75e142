package peer

import "sync"

// frameSizeTarget is the size from which no further message is added to a
// frame.
const frameSizeTarget = 256 << 10

// sendQueue holds the messages that a stream has still to send.
type sendQueue[T any] struct {
	mu    sync.Mutex
	items []T
	// wake holds a token while items are queued.
	wake chan struct{}
	size func(T) int
}

// newSendQueue returns an empty queue; size returns the size of an item in
// bytes.
func newSendQueue[T any](size func(T) int) *sendQueue[T] {
	return &sendQueue[T]{wake: make(chan struct{}, 1), size: size}
}

// push appends an item and wakes the sender.
func (q *sendQueue[T]) push(item T) {
	q.mu.Lock()
	q.items = append(q.items, item)
	q.mu.Unlock()
	q.wakeSender()
}

// wakeSender puts a token into wake unless there is one.
func (q *sendQueue[T]) wakeSender() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takeFrame removes and returns the items of the next frame. If items remain,
// it leaves a token in wake.
func (q *sendQueue[T]) takeFrame() []T {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, total := 0, 0
	for n < len(q.items) && total < frameSizeTarget {
		total += q.size(q.items[n])
		n++
	}
	taken := q.items[:n:n]
	q.items = q.items[n:]
	if len(q.items) == 0 {
		q.items = nil
	} else {
		q.wakeSender()
	}
	return taken
}
