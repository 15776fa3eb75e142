package database

import (
	"context"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simpleQuery runs all statements of a Query message. Outside a transaction block they
// form one implicit transaction.
func (c *session) simpleQuery(text string) error {
	ctx, cancel := c.statementContext()
	defer cancel()
	statements := splitStatements(tokenize(text))
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, tokens := range statements {
		if err := c.simpleStatement(ctx, tokens, i == len(statements)-1); err != nil {
			if c.srv.ctx.Err() != nil {
				return err
			}
			c.fail(err)
			break
		}
	}
	if !c.tx.inBlock {
		c.rollback()
	}
	c.sendReady()
	return c.flush()
}

func (c *session) simpleStatement(ctx context.Context, tokens []token, last bool) error {
	p, err := parse(tokens)
	if err != nil {
		return err
	}
	d, err := c.describe(ctx, p)
	if err != nil {
		return err
	}
	if p.params > 0 {
		return newError("42P02", "there is no parameter $1")
	}
	res, err := c.runStatement(ctx, p, d, nil)
	if err != nil {
		return err
	}
	if last && !c.tx.inBlock {
		if err := c.commit(ctx); err != nil {
			return err
		}
	}
	if len(res.columns) > 0 {
		c.backend.Send(rowDescription(res.columns, nil))
	}
	if err := c.sendRows(res.columns, res.rows, nil); err != nil {
		return err
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}

// describe returns the types of a statement. In a failed transaction the statement will
// not run, so nothing is looked up.
func (c *session) describe(ctx context.Context, p *parsedStatement) (description, error) {
	if p.command == commandFunction {
		return p.describeFunction()
	}
	if p.command == commandShow {
		return description{columns: showColumns(p)}, nil
	}
	if c.tx.failed || !p.usesEngine() {
		return description{}, nil
	}
	ownSchema := c.tx.write != nil && c.tx.write.ddl
	if d, ok := c.ep.descriptions.get(p.sql); ok && !ownSchema {
		return d, nil
	}
	var d description
	err := c.withReader(ctx, func(q querier) error {
		var err error
		d, err = describe(ctx, q, p)
		return err
	})
	if err == nil && !ownSchema && !p.ddl {
		c.ep.descriptions.put(p.sql, d)
	}
	return d, err
}
