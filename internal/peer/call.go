package peer

import (
	"sync"
	"sync/atomic"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// call is one pending request on the entry's side of a stream.
type call struct {
	id requestID
	// state decides whether the request is sent: either the sender marks it as
	// sent or Do withdraws it, never both.
	state atomic.Int32
	// ready holds a token while answers are queued.
	ready chan struct{}

	mu      sync.Mutex
	answers []*peerv1.Answer
	// bufferedBytes is the number of chunk bytes that the sink has not consumed.
	bufferedBytes int
}

// States of a call.
const (
	callQueued int32 = iota
	callSent
	callWithdrawn
)

// markSent marks the request as sent; false if it was withdrawn.
func (c *call) markSent() bool { return c.state.CompareAndSwap(callQueued, callSent) }

// withdraw prevents the request from being sent; false if it may have been
// sent.
func (c *call) withdraw() bool { return c.state.CompareAndSwap(callQueued, callWithdrawn) }

// newCall returns a call without answers.
func newCall(id requestID) *call {
	return &call{id: id, ready: make(chan struct{}, 1)}
}

// push queues an answer. It returns false if the owner exceeded its credit.
func (c *call) push(a *peerv1.Answer) bool {
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.bufferedBytes += len(a.GetChunk())
	ok := c.bufferedBytes <= CreditWindow
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
	return ok
}

// pop returns the oldest queued answer, nil if there is none.
func (c *call) pop() *peerv1.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answers) == 0 {
		return nil
	}
	a := c.answers[0]
	c.answers = c.answers[1:]
	c.bufferedBytes -= len(a.GetChunk())
	return a
}
