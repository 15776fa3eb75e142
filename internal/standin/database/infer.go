package database

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// exprType infers the type of an expression that is not a plain column. It returns
// oidUnknown if it cannot.
func exprType(expr []token, columns map[string]uint32) uint32 {
	expr = withoutAlias(expr)
	if len(expr) == 0 {
		return oidUnknown
	}
	if n := len(expr); n >= 2 && expr[n-2].kind == tokenCast {
		return typeOID(expr[n-1].text)
	}
	if t := comparisonType(expr); t != oidUnknown {
		return t
	}
	first := expr[0]
	switch {
	case first.kind == tokenNumber && strings.Contains(first.text, "."):
		return pgtype.Float8OID
	case first.kind == tokenNumber && len(expr) == 1:
		return pgtype.Int4OID
	case first.kind == tokenNumber, first.isSymbol("-"):
		return pgtype.Int8OID
	case first.isKeyword("TRUE"), first.isKeyword("FALSE"), first.isKeyword("EXISTS"), first.isKeyword("NOT"):
		return pgtype.BoolOID
	case first.kind == tokenWord && len(expr) > 1 && expr[1].isSymbol("("):
		return callType(first.text, expr[2:], columns)
	}
	return arithmeticType(expr)
}

func withoutAlias(expr []token) []token {
	for i, t := range expr {
		if t.isKeyword("AS") && i == len(expr)-2 {
			return expr[:i]
		}
	}
	return expr
}

func callType(name string, args []token, columns map[string]uint32) uint32 {
	switch strings.ToLower(name) {
	case "count", "length", "row_number", "rank":
		return pgtype.Int8OID
	case "sum":
		if argumentType(args, columns) == pgtype.Float8OID {
			return pgtype.Float8OID
		}
		return pgtype.Int8OID
	case "avg", "total", "round", "random":
		return pgtype.Float8OID
	case "coalesce", "max", "min", "abs", "ifnull", "nullif":
		return argumentType(args, columns)
	case "now":
		return pgtype.TimestamptzOID
	}
	return oidUnknown
}

// argumentType returns the type of the first column or string literal among the
// arguments, or bigint if there is none.
func argumentType(args []token, columns map[string]uint32) uint32 {
	for _, t := range args {
		if t.kind == tokenString {
			return pgtype.TextOID
		}
		if oid := columns[columnKey(t)]; oid != oidUnknown {
			return oid
		}
	}
	return pgtype.Int8OID
}

// comparisonType returns the boolean type if the expression has a comparison outside
// parentheses.
func comparisonType(expr []token) uint32 {
	depth := 0
	for _, t := range expr {
		switch {
		case t.isSymbol("("):
			depth++
		case t.isSymbol(")"):
			depth--
		case depth == 0 && isComparison(t):
			return pgtype.BoolOID
		}
	}
	return oidUnknown
}

func isComparison(t token) bool {
	for _, s := range []string{"=", "<", ">", "<=", ">=", "<>", "!="} {
		if t.isSymbol(s) {
			return true
		}
	}
	return t.isKeyword("IS") || t.isKeyword("IN") || t.isKeyword("LIKE") || t.isKeyword("AND") || t.isKeyword("OR")
}

func arithmeticType(expr []token) uint32 {
	for _, t := range expr {
		if t.isSymbol("+") || t.isSymbol("-") || t.isSymbol("*") {
			return pgtype.Int8OID
		}
	}
	return oidUnknown
}

// paramTypes infers the types of the parameters from casts, the columns of an INSERT and
// comparisons with columns.
func (p *parsedStatement) paramTypes(columns map[string]uint32) []uint32 {
	out := make([]uint32, p.params)
	p.inferInsert(columns, out)
	p.inferComparisons(columns, out)
	for n, t := range p.casts {
		out[n-1] = typeOID(t)
	}
	return out
}

// tableColumns returns the types of the columns of all tables in the statement, by
// column name.
func tableColumns(ctx context.Context, q querier, p *parsedStatement) (map[string]uint32, error) {
	out := map[string]uint32{}
	for i, t := range p.tokens[:len(p.tokens)-1] {
		if !t.isKeyword("FROM") && !t.isKeyword("JOIN") && !t.isKeyword("INTO") && !t.isKeyword("UPDATE") {
			continue
		}
		if err := addColumns(ctx, q, p.tokens[i+1].text, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func addColumns(ctx context.Context, q querier, table string, out map[string]uint32) error {
	rows, err := q.QueryContext(ctx, "SELECT name, type FROM pragma_table_info($1)", strings.Trim(table, `"`))
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		var name, declared string
		if err := rows.Scan(&name, &declared); err != nil {
			return err
		}
		out[strings.ToLower(name)] = typeOID(declared)
	}
	return rows.Err()
}

// inferInsert infers parameter types from INSERT INTO t (a, b) VALUES ($1, $2), ($3, $4).
func (p *parsedStatement) inferInsert(columns map[string]uint32, out []uint32) {
	into := p.indexOf("INTO")
	if into == 0 || into+2 >= len(p.tokens) || !p.tokens[into+2].isSymbol("(") {
		return
	}
	names := p.tokens[into+3:]
	end := 0
	for end < len(names) && !names[end].isSymbol(")") {
		end++
	}
	list := splitList(names[:end])
	position, depth := 0, 0
	for _, t := range names[min(end+1, len(names)):] {
		switch {
		case t.isSymbol("("):
			depth++
			if depth == 1 {
				position = 0
			}
		case t.isSymbol(")"):
			depth--
		case t.isSymbol(",") && depth == 1:
			position++
		case t.kind == tokenParam && depth == 1 && position < len(list):
			setType(out, t, columns[columnKey(list[position][0])])
		}
	}
}

// inferComparisons infers parameter types from "column = $1", "$1 < column" and
// LIMIT $1.
func (p *parsedStatement) inferComparisons(columns map[string]uint32, out []uint32) {
	for i, t := range p.tokens {
		if t.kind != tokenParam || i == 0 {
			continue
		}
		prev := p.tokens[i-1]
		switch {
		case prev.isKeyword("LIMIT"), prev.isKeyword("OFFSET"):
			setType(out, t, pgtype.Int8OID)
		case i >= 2 && (isOperator(prev) || prev.isKeyword("LIKE") || prev.isKeyword("BETWEEN")):
			setType(out, t, columns[columnKey(p.tokens[i-2])])
		case i+2 < len(p.tokens) && isOperator(p.tokens[i+1]):
			setType(out, t, columns[columnKey(p.tokens[i+2])])
		}
	}
}

func isOperator(t token) bool {
	return t.kind == tokenSymbol && !t.isSymbol("(") && !t.isSymbol(")") && !t.isSymbol(",")
}

func columnKey(t token) string { return strings.ToLower(strings.Trim(t.text, `"`)) }

func setType(out []uint32, param token, oid uint32) {
	n := paramNumber(param)
	if oid != oidUnknown && n >= 1 && out[n-1] == oidUnknown {
		out[n-1] = oid
	}
}
