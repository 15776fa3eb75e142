package database

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgtype"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// function is one of the platform's SQL functions, which clients call by SELECT
// platform_name(arguments).
type function struct {
	params  []uint32
	columns []column
	call    func(ctx context.Context, c *session, args functionArgs) ([]any, error)
}

var statusColumns = textColumns("role", "term", "holder", "appointed_term", "primary_address", "received", "applied")

func textColumns(names ...string) []column {
	out := make([]column, len(names))
	for i, n := range names {
		out[i] = column{name: n, oid: pgtype.TextOID}
	}
	return out
}

var functions map[string]function

func init() {
	functions = map[string]function{
		"platform_log_position": {
			columns: textColumns("platform_log_position"),
			call:    callPosition,
		},
		"platform_work": {
			params:  []uint32{pgtype.Int8OID},
			columns: []column{{name: "platform_work", oid: pgtype.Int8OID}},
			call:    callWork,
		},
		"platform_status": {
			columns: statusColumns,
			call:    callStatus,
		},
		"platform_advance_term": {
			params:  []uint32{pgtype.Int8OID, pgtype.TextOID},
			columns: statusColumns,
			call:    callAdvance,
		},
		"platform_promote": {
			params:  []uint32{pgtype.Int8OID, pgtype.TextOID},
			columns: statusColumns,
			call:    callPromote,
		},
		"platform_follow": {
			params:  []uint32{pgtype.Int8OID, pgtype.TextOID, pgtype.TextOID},
			columns: statusColumns,
			call:    callFollow,
		},
		"platform_log_entries": {
			params:  []uint32{pgtype.Int8OID, pgtype.Int8OID, pgtype.Int8OID},
			columns: textColumns("platform_log_entries"),
			call:    callEntries,
		},
	}
}

// functionName returns the name of the platform function that the statement calls, or
// "" if it calls none.
func (p *parsedStatement) functionName() string {
	if p.verb != "SELECT" || len(p.tokens) < 4 || !p.tokens[2].isSymbol("(") {
		return ""
	}
	name := strings.ToLower(p.tokens[1].text)
	if _, ok := functions[name]; !ok {
		return ""
	}
	return name
}

func (p *parsedStatement) describeFunction() (description, error) {
	f := functions[p.functionName()]
	list := p.functionArgs()
	if len(list) != len(f.params) {
		return description{}, newError(sqlStateUndefinedFunction, "function %s does not take %d arguments",
			p.functionName(), len(list))
	}
	d := description{params: make([]uint32, p.params), columns: f.columns}
	for i, t := range list {
		if t.kind == tokenParam {
			setType(d.params, t, f.params[i])
		}
	}
	return d, nil
}

// functionArgs returns the arguments of the call, which are literals or parameters.
func (p *parsedStatement) functionArgs() []token {
	var out []token
	for _, t := range p.tokens[3:] {
		if t.isSymbol(")") {
			break
		}
		if t.kind == tokenNumber || t.kind == tokenString || t.kind == tokenParam {
			out = append(out, t)
		}
	}
	return out
}

func (c *session) callFunction(ctx context.Context, p *parsedStatement, args []any) (result, error) {
	f := functions[p.functionName()]
	values := make(functionArgs, len(f.params))
	for i, t := range p.functionArgs() {
		values[i] = argumentText(t, args)
	}
	row, err := f.call(ctx, c, values)
	if err != nil {
		return result{}, err
	}
	return result{columns: f.columns, rows: [][]any{row}, tag: p.tag(1)}, nil
}

func argumentText(t token, args []any) string {
	switch t.kind {
	case tokenParam:
		return textOf(args[paramNumber(t)-1])
	case tokenString:
		return strings.ReplaceAll(t.text[1:len(t.text)-1], "''", "'")
	}
	return t.text
}

// functionArgs are the arguments of a call in text form.
type functionArgs []string

func (a functionArgs) number(i int) (uint64, error) {
	n, err := strconv.ParseUint(a[i], 10, 64)
	if err != nil {
		return 0, newError(sqlStateInvalidText, "invalid number %q", a[i])
	}
	return n, nil
}

func callPosition(_ context.Context, c *session, _ functionArgs) ([]any, error) {
	return []any{c.ep.appliedPosition().String()}, nil
}

func callWork(ctx context.Context, c *session, args functionArgs) ([]any, error) {
	ms, err := args.number(0)
	if err != nil {
		return nil, err
	}
	hold := time.Duration(ms) * time.Millisecond
	return []any{int64(ms)}, c.ep.runInSlot(ctx, hold, func() error { return nil })
}

func callStatus(_ context.Context, c *session, _ functionArgs) ([]any, error) {
	return statusRow(c.ep.status(), nil)
}

func callAdvance(_ context.Context, c *session, args functionArgs) ([]any, error) {
	term, err := args.number(0)
	if err != nil {
		return nil, err
	}
	return statusRow(c.ep.advanceTerm(term, args[1]))
}

func callPromote(ctx context.Context, c *session, args functionArgs) ([]any, error) {
	term, err := args.number(0)
	if err != nil {
		return nil, err
	}
	return statusRow(c.ep.promote(ctx, term, args[1]))
}

func callFollow(_ context.Context, c *session, args functionArgs) ([]any, error) {
	term, err := args.number(0)
	if err != nil {
		return nil, err
	}
	return statusRow(c.ep.follow(term, args[1], args[2]))
}

func statusRow(s platform.EndpointStatus, err error) ([]any, error) {
	if err != nil {
		return nil, err
	}
	return []any{
		string(s.Role),
		strconv.FormatUint(s.Term, 10),
		s.Holder,
		strconv.FormatUint(s.AppointedTerm, 10),
		s.Primary,
		s.Received.String(),
		s.Applied.String(),
	}, nil
}

// callEntries runs platform_log_entries(term, offset, wait in ms), by which replicas
// fetch the log.
func callEntries(ctx context.Context, c *session, args functionArgs) ([]any, error) {
	var n [3]uint64
	for i := range n {
		var err error
		if n[i], err = args.number(i); err != nil {
			return nil, err
		}
	}
	after := logpos.Position{Term: n[0], Offset: n[1]}
	page, err := c.ep.readLog(ctx, after, time.Duration(n[2])*time.Millisecond)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(page)
	return []any{string(body)}, err
}
