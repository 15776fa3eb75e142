package entry

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// answerLocally answers a batch of statements that the entry handles itself. The
// caller gets the messages that a database would send.
func (c *caller) answerLocally(b *batch, p *prepared, ch check) error {
	a := &answer{w: c, batch: p}
	if c.status == statusFailed && len(ch.verdicts) > 0 {
		a.fail(notRun(stateInFailedTransaction, metrics.RefusedSessionState, "current transaction is aborted, commands ignored until end of transaction block"))
		return c.finishLocally(a)
	}
	tags := ch.verdicts
	for _, i := range b.items {
		if i.kind == typeQuery {
			for _, v := range tags {
				a.out = encode(a.out, &pgproto3.CommandComplete{CommandTag: []byte(v.tag)})
			}
			continue
		}
		a.out = encodeLocal(a.out, i, tags)
	}
	for _, change := range p.parses {
		c.statements.apply(change)
	}
	for _, change := range p.closes {
		c.statements.apply(change)
	}
	c.clearStatements(ch)
	return c.finishLocally(a)
}

// finishLocally writes the answer, with ReadyForQuery unless the caller ended
// the batch with Flush.
func (c *caller) finishLocally(a *answer) error {
	if !a.batch.flush {
		return a.ready(c.status)
	}
	c.skipping = a.failed
	return a.flush()
}

// clearStatements forgets the prepared statements after DISCARD ALL and
// DEALLOCATE ALL.
func (c *caller) clearStatements(ch check) {
	for _, v := range ch.verdicts {
		if v.clear {
			c.statements.clear()
		}
	}
}

// encodeLocal appends the answer to one message of an extended batch.
func encodeLocal(out []byte, i item, tags []verdict) []byte {
	switch i.kind {
	case typeParse:
		return encode(out, &pgproto3.ParseComplete{})
	case typeBind:
		return encode(out, &pgproto3.BindComplete{})
	case typeDescribe:
		if i.object == objectStatement {
			out = encode(out, &pgproto3.ParameterDescription{})
		}
		return encode(out, &pgproto3.NoData{})
	case typeExecute:
		return encode(out, &pgproto3.CommandComplete{CommandTag: []byte(tags[0].tag)})
	case typeClose:
		return encode(out, &pgproto3.CloseComplete{})
	default:
		return out
	}
}
