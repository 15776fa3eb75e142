package database

import (
	"context"
	"database/sql"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// rowsPerFlush is the number of rows after which buffered rows are sent.
const rowsPerFlush = 256

// result is the result of one statement. tag is its CommandComplete tag.
type result struct {
	columns []column
	rows    [][]any
	tag     string
}

// runStatement runs one statement in the session's transaction.
func (c *session) runStatement(ctx context.Context, p *parsedStatement, d description, args []any) (result, error) {
	ending := p.command == commandCommit || p.command == commandRollback
	if c.tx.failed && !ending {
		return result{}, newError(sqlStateFailedTransaction, messageFailedTransaction)
	}
	if err := c.srv.faults.waitWhile(ctx, Faults.paused); err != nil {
		return result{}, err
	}
	switch p.command {
	case commandBegin:
		c.beginTx()
		c.tx.inBlock = true
		return result{tag: "BEGIN"}, nil
	case commandCommit:
		return c.endTransactionBlock(ctx, true)
	case commandRollback:
		return c.endTransactionBlock(ctx, false)
	case commandSession:
		return result{tag: p.sessionTag()}, nil
	case commandShow:
		return c.show(p), nil
	case commandUnsupported:
		return result{}, newError(sqlStateNotSupported, "savepoints are not supported")
	case commandFunction:
		return c.callFunction(ctx, p, args)
	}
	c.beginTx()
	if p.usesNow {
		args = append(args[:len(args):len(args)], time.Now().UTC().Format(timeLayout))
	}
	if p.command == commandRead {
		return c.runRead(ctx, p, d, args)
	}
	return c.runWrite(ctx, p, d, args)
}

// endTransactionBlock runs COMMIT or ROLLBACK. COMMIT of a failed transaction rolls it
// back.
func (c *session) endTransactionBlock(ctx context.Context, commit bool) (result, error) {
	if !commit || c.tx.failed {
		c.rollback()
		return result{tag: "ROLLBACK"}, nil
	}
	return result{tag: "COMMIT"}, c.commit(ctx)
}

// sessionTag returns the CommandComplete tag of SET, RESET, DISCARD and DEALLOCATE.
func (p *parsedStatement) sessionTag() string {
	if p.verb == "DISCARD" || p.verb == "DEALLOCATE" {
		return p.verb + " ALL"
	}
	return p.verb
}

func (c *session) runRead(ctx context.Context, p *parsedStatement, d description, args []any) (result, error) {
	f, _ := c.srv.faults.snapshot()
	res := result{columns: d.columns}
	read := func(q querier) error {
		var err error
		res.rows, err = queryRows(ctx, q, p.sql, args)
		return err
	}
	if c.tx.write != nil {
		err := c.runInWriteTx(ctx, f.ServiceTime, read)
		res.tag = p.tag(int64(len(res.rows)))
		return res, err
	}
	err := c.ep.runInSlot(ctx, f.ServiceTime, func() error { return read(c.ep.store.readers) })
	res.tag = p.tag(int64(len(res.rows)))
	return res, err
}

// runInWriteTx runs work in the session's write transaction. It holds a slot for the
// service time and gives it back before it waits for the write lock. Otherwise sessions
// that wait for the lock could occupy all slots while its holder needs one.
func (c *session) runInWriteTx(ctx context.Context, service time.Duration, work func(q querier) error) error {
	if err := c.ep.runInSlot(ctx, service, func() error { return nil }); err != nil {
		return err
	}
	return c.runWithWriteLock(ctx, work)
}

// runWithWriteLock runs work in the session's write transaction. Inside a transaction
// block it gives the write lock back afterwards, because the block may stay open for
// long.
func (c *session) runWithWriteLock(ctx context.Context, work func(q querier) error) error {
	w := c.tx.write
	if err := w.acquire(ctx); err != nil {
		return err
	}
	if c.tx.inBlock {
		defer w.suspend()
	}
	return w.run(work)
}

// withReader runs work on the data that the session sees: in its write transaction, if
// it has one, otherwise on committed data.
func (c *session) withReader(ctx context.Context, work func(q querier) error) error {
	if c.tx.write != nil {
		return c.runWithWriteLock(ctx, work)
	}
	return work(c.ep.store.readers)
}

func (c *session) runWrite(ctx context.Context, p *parsedStatement, d description, args []any) (result, error) {
	if err := c.ep.checkWritable(c.tx.term); err != nil {
		return result{}, err
	}
	if c.tx.write == nil {
		c.tx.write = &writeTx{ep: c.ep, term: c.tx.term}
	}
	w := c.tx.write
	f, _ := c.srv.faults.snapshot()
	res := result{columns: d.columns}
	err := c.runInWriteTx(ctx, f.ServiceTime, func(q querier) error {
		rows, n, err := execStatement(ctx, q, p, args, len(d.columns) > 0)
		res.rows = rows
		res.tag = p.tag(n)
		if err == nil {
			w.record(newExecutedStatement(p, args, res, n))
		}
		return err
	})
	return res, err
}

// execStatement runs one statement and returns its rows, and how many rows it returned
// or changed.
func execStatement(ctx context.Context, q querier, p *parsedStatement, args []any, returnsRows bool) ([][]any, int64, error) {
	if returnsRows {
		rows, err := queryRows(ctx, q, p.sql, args)
		return rows, int64(len(rows)), err
	}
	r, err := q.ExecContext(ctx, p.sql, args...)
	if err != nil {
		return nil, 0, err
	}
	n, err := r.RowsAffected()
	return nil, n, err
}

func queryRows(ctx context.Context, q querier, text string, args []any) ([][]any, error) {
	rows, err := q.QueryContext(ctx, text, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	names, err := rows.Columns()
	if err != nil {
		return nil, err
	}
	return scanRows(rows, len(names))
}

func scanRows(rows *sql.Rows, n int) ([][]any, error) {
	var out [][]any
	for rows.Next() {
		row := make([]any, n)
		targets := make([]any, n)
		for i := range row {
			targets[i] = &row[i]
		}
		if err := rows.Scan(targets...); err != nil {
			return nil, err
		}
		out = append(out, row)
	}
	return out, rows.Err()
}

// sendRows sends rows in the requested formats.
func (c *session) sendRows(columns []column, rows [][]any, formats []int16) error {
	for i, row := range rows {
		values := make([][]byte, len(row))
		for j, v := range row {
			var err error
			if values[j], err = encodeColumn(c.types, columns[j].oid, formatOf(formats, j), v); err != nil {
				return err
			}
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if i%rowsPerFlush == rowsPerFlush-1 {
			if err := c.flush(); err != nil {
				return err
			}
		}
	}
	return nil
}

// formatOf returns the format code of value i. No code means text for all values, and a
// single code applies to all of them.
func formatOf(formats []int16, i int) int16 {
	switch len(formats) {
	case 0:
		return 0
	case 1:
		return formats[0]
	}
	if i < len(formats) {
		return formats[i]
	}
	return 0
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	d := &pgproto3.RowDescription{}
	for i, col := range columns {
		d.Fields = append(d.Fields, pgproto3.FieldDescription{
			Name:         []byte(col.name),
			DataTypeOID:  col.oid,
			DataTypeSize: -1,
			TypeModifier: -1,
			Format:       formatOf(formats, i),
		})
	}
	return d
}
