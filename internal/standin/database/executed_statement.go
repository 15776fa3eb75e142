package database

import (
	"context"
	"fmt"
)

// executedStatement is one statement of a write transaction with the result that was sent
// to the client.
type executedStatement struct {
	statement *parsedStatement
	args      []any
	// returnsRows selects whether a replay reads rows or only counts changed rows.
	returnsRows bool
	// result is the result as text, to be compared with that of a replay.
	result string
}

func newExecutedStatement(p *parsedStatement, args []any, res result, affected int64) executedStatement {
	return executedStatement{statement: p, args: args, returnsRows: len(res.columns) > 0, result: resultText(res.rows, affected)}
}

func resultText(rows [][]any, affected int64) string { return fmt.Sprint(affected, rows) }

// replay runs the statement again and returns an error with SQLSTATE 40001 if its result
// has changed.
func (s executedStatement) replay(ctx context.Context, q querier) error {
	rows, n, err := execStatement(ctx, q, s.statement, s.args, s.returnsRows)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil || resultText(rows, n) != s.result {
		return newError(sqlStateSerializationFailure, "could not serialize access due to concurrent update")
	}
	return nil
}
