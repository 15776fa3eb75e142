package database

import "context"

// transaction is the transaction state of a session. A transaction without a
// block ends at the end of the query or at Sync.
type transaction struct {
	// open is true from the first statement.
	open bool
	// block is true between BEGIN and COMMIT or ROLLBACK.
	block  bool
	failed bool
	// term is the endpoint's appointed term when the session was opened.
	term  uint64
	write *writeTx
}

func (t *transaction) status() byte {
	switch {
	case t.block && t.failed:
		return 'E'
	case t.block:
		return 'T'
	}
	return 'I'
}

// fail rolls back the writes; a block stays open until its end.
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

// commit ends the transaction. Nothing is committed if it returns an error.
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
