package entry

import "github.com/beryltrestle/beryltrestle/internal/metrics"

// loseTransaction makes the caller's transaction a failed one that only the
// entry knows. A caller that overlooks the error would otherwise run the rest of
// its transaction as single statements.
func (c *caller) loseTransaction() {
	c.transaction = nil
	c.status = statusFailed
}

// lostTransaction reports whether the caller is inside a transaction that was
// rolled back because its owner was lost.
func (c *caller) lostTransaction() bool { return c.status == statusFailed && c.transaction == nil }

// answerLost answers a batch inside a lost transaction as a database answers one
// inside a failed transaction: everything fails but its end, which rolls back.
func (c *caller) answerLost(b *batch, p *prepared, ch check) error {
	if !ch.endsTransaction() {
		a := &answer{w: c, batch: p}
		a.fail(notRun(stateInFailedTransaction, metrics.RefusedTransactionLost,
			"current transaction is aborted, commands ignored until end of transaction block"))
		return c.finishLocally(a)
	}
	c.status = statusIdle
	ch.verdicts = []verdict{{class: classLocal, tag: "ROLLBACK"}}
	return c.answerLocally(b, p, ch)
}

// endsTransaction reports whether the batch is one statement that ends a
// transaction.
func (c check) endsTransaction() bool {
	return len(c.verdicts) == 1 && c.count(classCommit, classRollback) == 1
}
