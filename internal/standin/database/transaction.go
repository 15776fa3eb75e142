package database

import "context"

// transaction is the transaction state of a session. An implicit transaction, outside a
// transaction block, ends with the simple query or at Sync.
type transaction struct {
	// open is true from the first statement to the end of the transaction.
	open bool
	// inBlock is true between BEGIN and COMMIT or ROLLBACK.
	inBlock bool
	failed  bool
	// term is the endpoint's appointed term at the time when the session was opened.
	term uint64
	// write is nil until the first write or locking read.
	write *writeTx
}

// status returns the transaction status of ReadyForQuery.
func (t *transaction) status() byte {
	switch {
	case t.inBlock && t.failed:
		return 'E'
	case t.inBlock:
		return 'T'
	}
	return 'I'
}

// fail marks the transaction as failed and rolls back its writes. A transaction block
// stays open until COMMIT or ROLLBACK.
func (t *transaction) fail() {
	t.failed = true
	if t.write != nil {
		t.write.rollback()
		t.write = nil
	}
}

func (c *session) beginTx() {
	if c.tx.open {
		return
	}
	c.tx.open = true
	c.tx.term = c.term
}

// commit ends the transaction. If it returns an error, nothing was committed.
func (c *session) commit(ctx context.Context) error {
	w := c.tx.write
	failed := c.tx.failed
	c.tx = transaction{}
	clear(c.portals)
	if w == nil || failed {
		return nil
	}
	if err := c.srv.faults.waitWhile(ctx, Faults.paused); err != nil {
		w.rollback()
		return err
	}
	err := w.commit(ctx)
	if err != nil {
		w.rollback()
	}
	return err
}

func (c *session) rollback() {
	c.tx.fail()
	c.tx = transaction{}
	clear(c.portals)
}
