package database

import (
	"context"
	"fmt"
)

// step is one statement of a write transaction with the result that the client
// was told.
type step struct {
	statement *parsedStatement
	args      []any
	// columns is true if the statement returns rows.
	columns bool
	// told identifies the result.
	told string
}

func newStep(p *parsedStatement, args []any, res result, affected int64) step {
	return step{statement: p, args: args, columns: len(res.columns) > 0, told: resultText(res.rows, affected)}
}

func resultText(rows [][]any, affected int64) string { return fmt.Sprint(affected, rows) }

// repeat runs the statement again and compares its result.
func (s step) repeat(ctx context.Context, q querier) error {
	rows, n, err := runIn(ctx, q, s.statement, s.args, s.columns)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil || resultText(rows, n) != s.told {
		return newError(stateSerialization, "could not serialize access due to concurrent update")
	}
	return nil
}
