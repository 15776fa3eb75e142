package peer

import (
	"sync"
	"sync/atomic"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// call is one request on the entry's side of a stream.
type call struct {
	id requestID
	// state decides whether the request leaves this daemon: either the sender
	// takes it or the caller withdraws it, never both.
	state atomic.Int32
	// ready holds a token while answers wait.
	ready chan struct{}

	mu      sync.Mutex
	answers []*peerv1.Answer
	// waiting is the number of chunk bytes that the sink has not consumed.
	waiting int
}

// States of a call.
const (
	callQueued int32 = iota
	callSent
	callWithdrawn
)

// markSent claims the request for the sender; false if it was withdrawn.
func (c *call) markSent() bool { return c.state.CompareAndSwap(callQueued, callSent) }

// withdraw keeps the request from being sent; false if it may have been sent.
func (c *call) withdraw() bool { return c.state.CompareAndSwap(callQueued, callWithdrawn) }

// newCall returns a call without answers.
func newCall(id requestID) *call {
	return &call{id: id, ready: make(chan struct{}, 1)}
}

// push adds an answer. It returns false if the owner exceeded its credit.
func (c *call) push(a *peerv1.Answer) bool {
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.waiting += len(a.GetChunk())
	ok := c.waiting <= CreditWindow
	c.mu.Unlock()
	select {
	case c.ready <- struct{}{}:
	default:
	}
	return ok
}

// pop returns the oldest answer, nil if none waits.
func (c *call) pop() *peerv1.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answers) == 0 {
		return nil
	}
	a := c.answers[0]
	c.answers = c.answers[1:]
	c.waiting -= len(a.GetChunk())
	return a
}
