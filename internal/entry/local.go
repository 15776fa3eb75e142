package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// answerLocally answers a batch whose statements all are classLocal, with the messages
// that a database would send.
func (c *callerConn) answerLocally(b *batch, prepared *selfContainedBatch, classes batchClasses) error {
	answer := &answerFilter{w: c, batch: prepared}
	if c.status == statusFailed && len(classes.statements) > 0 {
		answer.appendError(notRun(stateInFailedTransaction, metrics.RefusedSessionState, "current transaction is aborted, commands ignored until end of transaction block"))
		return c.finishLocally(answer)
	}
	statements := classes.statements
	for _, m := range b.messages {
		if m.messageType == typeQuery {
			for _, sc := range statements {
				answer.buffered = encode(answer.buffered, &pgproto3.CommandComplete{CommandTag: []byte(sc.tag)})
			}
			continue
		}
		answer.buffered = encodeLocal(answer.buffered, m, statements)
	}
	for _, change := range prepared.parses {
		c.statements.apply(change)
	}
	for _, change := range prepared.closes {
		c.statements.apply(change)
	}
	c.clearStatements(classes)
	return c.finishLocally(answer)
}

// finishLocally writes the answer. ReadyForQuery is added unless the batch ends with
// Flush.
func (c *callerConn) finishLocally(a *answerFilter) error {
	if !a.batch.endsWithFlush {
		return a.sendReady(c.status)
	}
	c.skipToSync = a.failed
	return a.flush()
}

// clearStatements deletes the prepared statements after DISCARD ALL or DEALLOCATE ALL.
func (c *callerConn) clearStatements(classes batchClasses) {
	for _, sc := range classes.statements {
		if sc.clearsStatements {
			c.statements.clear()
		}
	}
}

// encodeLocal appends the answer to one message of the extended protocol.
func encodeLocal(out []byte, m message, statements []statementClass) []byte {
	switch m.messageType {
	case typeParse:
		return encode(out, &pgproto3.ParseComplete{})
	case typeBind:
		return encode(out, &pgproto3.BindComplete{})
	case typeDescribe:
		if m.objectType == objectStatement {
			out = encode(out, &pgproto3.ParameterDescription{})
		}
		return encode(out, &pgproto3.NoData{})
	case typeExecute:
		return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(statements[0].tag)})
	case typeClose:
		return encode(out, &pgproto3.CloseComplete{})
	default:
		return out
	}
}
