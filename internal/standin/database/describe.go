package database

import (
	"context"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgtype"
)

// column is one column of a result.
type column struct {
	name string
	oid  uint32
}

// description holds the types of a statement's parameters and result columns.
type description struct {
	params  []uint32
	columns []column
}

// describeCache caches descriptions by statement text. It is cleared when the
// schema changes.
type describeCache struct {
	mu     sync.RWMutex
	byText map[string]description
}

// maxDescriptions bounds the cache, because clients that use literals instead of
// parameters send a new text with every statement.
const maxDescriptions = 4096

func newDescribeCache() *describeCache { return &describeCache{byText: map[string]description{}} }

func (c *describeCache) get(sql string) (description, bool) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	d, ok := c.byText[sql]
	return d, ok
}

func (c *describeCache) put(sql string, d description) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byText) < maxDescriptions {
		c.byText[sql] = d
	}
}

func (c *describeCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byText = map[string]description{}
}

// describe checks the statement against the schema and determines its types.
func describe(ctx context.Context, q querier, p *parsedStatement) (description, error) {
	known, err := tableColumns(ctx, q, p)
	if err != nil {
		return description{}, err
	}
	d := description{params: p.paramTypes(known)}
	args := make([]any, p.argCount())
	switch {
	case p.command == commandWrite:
		d.columns, err = describeWrite(ctx, q, p, args, known)
	case p.verb == "EXPLAIN":
		d.columns, err = queryColumns(ctx, q, p.sql, args, nil, known)
	default:
		d.columns, err = queryColumns(ctx, q, "SELECT * FROM ("+p.sql+") LIMIT 0", args, p.selectList(), known)
	}
	return d, err
}

// usesEngine reports whether the SQL engine runs the statement.
func (p *parsedStatement) usesEngine() bool {
	return p.command == commandRead || p.command == commandLockingRead || p.command == commandWrite
}

// argCount returns the number of arguments of the translated text.
func (p *parsedStatement) argCount() int {
	if p.usesNow {
		return p.params + 1
	}
	return p.params
}

func describeWrite(
	ctx context.Context, q querier, p *parsedStatement, args []any, known map[string]uint32,
) ([]column, error) {
	if err := checkCompiles(ctx, q, p.sql, args); err != nil {
		return nil, err
	}
	if p.returning == 0 {
		return nil, nil
	}
	list := p.tokens[p.returning+1:]
	text := "SELECT " + joinSpaced(list) + " FROM " + p.targetTable() + " LIMIT 0"
	return queryColumns(ctx, q, text, args, splitList(list), known)
}

// checkCompiles lets the engine compile the statement without running it.
func checkCompiles(ctx context.Context, q querier, sql string, args []any) error {
	rows, err := q.QueryContext(ctx, "EXPLAIN "+sql, args...)
	if err != nil {
		return err
	}
	return rows.Close()
}

func joinSpaced(tokens []token) string {
	parts := make([]string, len(tokens))
	for i, t := range tokens {
		parts[i] = t.text
	}
	return strings.Join(parts, " ")
}

// targetTable returns the name of the table that a write changes.
func (p *parsedStatement) targetTable() string {
	for i, t := range p.tokens {
		if (t.isKeyword("INTO") || t.isKeyword("UPDATE") || t.isKeyword("FROM")) && i+1 < len(p.tokens) {
			return p.tokens[i+1].text
		}
	}
	return ""
}

// queryColumns returns the result columns of a query. The types of computed columns are
// inferred from exprs, the expressions of the select list.
func queryColumns(
	ctx context.Context, q querier, sql string, args []any, exprs [][]token, known map[string]uint32,
) ([]column, error) {
	rows, err := q.QueryContext(ctx, sql, args...)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	types, err := rows.ColumnTypes()
	if err != nil {
		return nil, err
	}
	out := make([]column, len(types))
	for i, t := range types {
		out[i] = column{name: t.Name(), oid: typeOID(t.DatabaseTypeName())}
		if out[i].oid == oidUnknown && len(exprs) == len(types) {
			out[i].oid = exprType(exprs[i], known)
		}
		if out[i].oid == oidUnknown {
			out[i].oid = pgtype.TextOID
		}
	}
	return out, rows.Err()
}

// selectList returns the expressions of the select list.
func (p *parsedStatement) selectList() [][]token {
	if p.verb != "SELECT" {
		return nil
	}
	list := p.tokens[1:]
	if len(list) > 0 && list[0].isKeyword("DISTINCT") {
		list = list[1:]
	}
	return splitList(list)
}

// splitList splits the tokens up to the next clause at commas outside parentheses.
func splitList(tokens []token) [][]token {
	var out [][]token
	depth, start := 0, 0
	for i, t := range tokens {
		switch {
		case t.isSymbol("("):
			depth++
		case t.isSymbol(")"):
			depth--
		case depth == 0 && t.isSymbol(","):
			out = append(out, tokens[start:i])
			start = i + 1
		case depth == 0 && startsClause(t):
			return append(out, tokens[start:i])
		}
	}
	return append(out, tokens[start:])
}

// startsClause reports whether the token is a keyword that ends a select or RETURNING
// list.
func startsClause(t token) bool {
	for _, k := range []string{"FROM", "WHERE", "UNION", "ORDER", "LIMIT", "GROUP"} {
		if t.isKeyword(k) {
			return true
		}
	}
	return false
}
