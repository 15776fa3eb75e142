package peer

import "sync"

// frameBytes is the size at which a frame takes no further message.
const frameBytes = 256 << 10

// outbox holds the messages that wait for the sender of a stream.
type outbox[T any] struct {
	mu    sync.Mutex
	items []T
	// wake holds a token while items wait.
	wake chan struct{}
	size func(T) int
}

// newOutbox returns an empty outbox; size returns the bytes of an item.
func newOutbox[T any](size func(T) int) *outbox[T] {
	return &outbox[T]{wake: make(chan struct{}, 1), size: size}
}

// put adds an item and wakes the sender.
func (o *outbox[T]) put(item T) {
	o.mu.Lock()
	o.items = append(o.items, item)
	o.mu.Unlock()
	o.signal()
}

// signal leaves a token for the sender.
func (o *outbox[T]) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// take returns what waits, up to the size of one frame. If items remain, the
// token is left for the next call.
func (o *outbox[T]) take() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, total := 0, 0
	for n < len(o.items) && total < frameBytes {
		total += o.size(o.items[n])
		n++
	}
	taken := o.items[:n:n]
	o.items = o.items[n:]
	if len(o.items) == 0 {
		o.items = nil
	} else {
		o.signal()
	}
	return taken
}
