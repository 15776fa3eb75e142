package database

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// preparedStatement is the result of a Parse message. statement is nil for an empty
// query.
type preparedStatement struct {
	statement *parsedStatement
	description
}

// portal is the result of a Bind message. Its result is kept between Execute messages
// with a row limit.
type portal struct {
	*preparedStatement
	args    []any
	formats []int16
	result  *result
}

func (c *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return c.parse(msg)
	case *pgproto3.Bind:
		return c.bind(msg)
	case *pgproto3.Describe:
		return c.describeMessage(msg)
	case *pgproto3.Execute:
		return c.execute(msg)
	case *pgproto3.Close:
		return c.closeMessage(msg)
	}
	return newError(sqlStateProtocolViolation, "unexpected message %T", msg)
}

func (c *session) parse(msg *pgproto3.Parse) error {
	if msg.Name != "" && c.statements[msg.Name] != nil {
		return newError("42P05", "prepared statement %q already exists", msg.Name)
	}
	list := splitStatements(tokenize(msg.Query))
	if len(list) > 1 {
		return newError(sqlStateSyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	ps := &preparedStatement{}
	if len(list) == 1 {
		if err := c.prepare(ps, list[0], msg.ParameterOIDs); err != nil {
			return err
		}
	}
	c.statements[msg.Name] = ps
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) prepare(ps *preparedStatement, tokens []token, oids []uint32) error {
	p, err := parse(tokens)
	if err != nil {
		return err
	}
	if c.tx.failed && p.command != commandCommit && p.command != commandRollback {
		return newError(sqlStateFailedTransaction, messageFailedTransaction)
	}
	ctx, cancel := c.statementContext()
	defer cancel()
	d, err := c.describe(ctx, p)
	if err != nil {
		return err
	}
	d.params = overrideTypes(d.params, oids)
	ps.statement = p
	ps.description = d
	return nil
}

// overrideTypes returns the types that the client declared, and the inferred ones for
// the other parameters.
func overrideTypes(inferred, declared []uint32) []uint32 {
	out := append([]uint32(nil), inferred...)
	for i, oid := range declared {
		if i < len(out) && oid != oidUnknown {
			out[i] = oid
		}
	}
	return out
}

func (c *session) bind(msg *pgproto3.Bind) error {
	ps := c.statements[msg.PreparedStatement]
	if ps == nil {
		return newError(sqlStateInvalidStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(ps.params) {
		return newError(sqlStateProtocolViolation, "bind message supplies %d parameters, but prepared statement requires %d",
			len(msg.Parameters), len(ps.params))
	}
	po := &portal{preparedStatement: ps, formats: append([]int16(nil), msg.ResultFormatCodes...)}
	for i, src := range msg.Parameters {
		v, err := decodeParam(c.types, ps.params[i], formatOf(msg.ParameterFormatCodes, i), src)
		if err != nil {
			return err
		}
		po.args = append(po.args, v)
	}
	c.portals[msg.DestinationPortal] = po
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describeMessage(msg *pgproto3.Describe) error {
	if msg.ObjectType == 'P' {
		po := c.portals[msg.Name]
		if po == nil {
			return newError(sqlStateInvalidPortal, "portal %q does not exist", msg.Name)
		}
		c.sendColumns(po.columns, po.formats)
		return nil
	}
	ps := c.statements[msg.Name]
	if ps == nil {
		return newError(sqlStateInvalidStatement, "prepared statement %q does not exist", msg.Name)
	}
	c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: ps.params})
	c.sendColumns(ps.columns, nil)
	return nil
}

func (c *session) sendColumns(columns []column, formats []int16) {
	if len(columns) == 0 {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(columns, formats))
}

func (c *session) execute(msg *pgproto3.Execute) error {
	po := c.portals[msg.Portal]
	if po == nil {
		return newError(sqlStateInvalidPortal, "portal %q does not exist", msg.Portal)
	}
	if po.statement == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if po.result == nil {
		ctx, cancel := c.statementContext()
		defer cancel()
		res, err := c.runStatement(ctx, po.statement, po.description, po.args)
		if err != nil {
			return err
		}
		po.result = &res
	}
	return c.sendPortal(po, int(msg.MaxRows))
}

// sendPortal sends the next rows of a portal, at most limit or all if limit is 0.
func (c *session) sendPortal(po *portal, limit int) error {
	rows := po.result.rows
	suspended := limit > 0 && len(rows) > limit
	if suspended {
		rows = rows[:limit]
	}
	if err := c.sendRows(po.result.columns, rows, po.formats); err != nil {
		return err
	}
	po.result.rows = po.result.rows[len(rows):]
	if suspended {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.tag)})
	return nil
}

func (c *session) closeMessage(msg *pgproto3.Close) error {
	if msg.ObjectType == 'P' {
		delete(c.portals, msg.Name)
	} else {
		delete(c.statements, msg.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
	return nil
}

// sync handles a Sync message, which commits an implicit transaction. An error of the
// commit is sent before ReadyForQuery.
func (c *session) sync() error {
	c.skipUntilSync = false
	if !c.tx.inBlock {
		if err := c.commit(c.srv.ctx); err != nil {
			if c.srv.ctx.Err() != nil {
				return err
			}
			c.fail(err)
			c.rollback()
		}
	}
	c.sendReady()
	return c.flush()
}
