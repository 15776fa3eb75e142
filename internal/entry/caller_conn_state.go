package entry

import "context"

// beginBatch makes the batch cancelable.
func (c *callerConn) beginBatch(cancelWait context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWait = cancelWait
	c.canceled = false
}

// endBatch makes later CancelRequests have no effect until the next batch.
func (c *callerConn) endBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelWait = nil
	c.running = nil
}

// setRunning records the attempt that a CancelRequest would cancel. It returns false if
// the batch has already been canceled.
func (c *callerConn) setRunning(a attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return false
	}
	c.running = &runningRequest{ownerAddress: a.owner.GetAddress(), id: a.id}
	return true
}

// clearRunning records that no attempt is running.
func (c *callerConn) clearRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = nil
}

// isCanceled reports whether a CancelRequest has arrived for the current batch.
func (c *callerConn) isCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

// updateTransaction records the transaction status after an attempt.
func (c *callerConn) updateTransaction(status byte, a attempt) {
	c.status = status
	if status == statusIdle {
		c.transaction = nil
		return
	}
	if c.transaction == nil {
		c.transaction = &transaction{id: a.id, owner: a.owner}
	}
}
