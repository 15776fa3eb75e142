package entry

import "github.com/beryltrestle/beryltrestle/internal/metrics"

// markTransactionLost makes the caller's transaction a failed one, which now exists only in
// the entry. Otherwise a caller that ignores the error would run the rest of the
// transaction as single statements.
func (c *callerConn) markTransactionLost() {
	c.transaction = nil
	c.status = statusFailed
}

// inLostTransaction reports whether the caller has not ended a transaction that was rolled
// back because its owner was lost.
func (c *callerConn) inLostTransaction() bool {
	return c.status == statusFailed && c.transaction == nil
}

// answerInLostTransaction answers a batch in a lost transaction as a database does in a
// failed transaction: every statement fails, except the one that ends the transaction,
// which is answered with ROLLBACK.
func (c *callerConn) answerInLostTransaction(b *batch, prepared *selfContainedBatch, classes batchClasses) error {
	if !classes.endsTransaction() {
		a := &answerFilter{w: c, batch: prepared}
		a.appendError(notRun(stateInFailedTransaction, metrics.RefusedTransactionLost,
			"current transaction is aborted, commands ignored until end of transaction block"))
		return c.finishLocally(a)
	}
	c.status = statusIdle
	classes.statements = []statementClass{{class: classLocal, tag: "ROLLBACK"}}
	return c.answerLocally(b, prepared, classes)
}

// endsTransaction reports whether the batch consists of one statement that ends a
// transaction.
func (c batchClasses) endsTransaction() bool {
	return len(c.statements) == 1 && c.count(classCommit, classRollback) == 1
}
