package entry

import "context"

// beginBatch makes the batch cancelable.
func (c *caller) beginBatch(cancelWait context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWait = cancelWait
	c.canceled = false
}

// endBatch makes a later CancelRequest have no effect.
func (c *caller) endBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWait = nil
	c.running = nil
}

// setRunning records the attempt that a CancelRequest cancels; false if the
// batch has been canceled already.
func (c *caller) setRunning(a attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return false
	}
	c.running = &running{address: a.owner.GetAddress(), id: a.id}
	return true
}

// clearRunning forgets the attempt.
func (c *caller) clearRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = nil
}

// isCanceled reports whether a CancelRequest came for the current batch.
func (c *caller) isCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

// setTransaction records the transaction status after an attempt.
func (c *caller) setTransaction(status byte, a attempt) {
	c.status = status
	if status == statusIdle {
		c.transaction = nil
		return
	}
	if c.transaction == nil {
		c.transaction = &transaction{id: a.id, owner: a.owner}
	}
}
