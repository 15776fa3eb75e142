package groupctl

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// endpoint holds the control connection of one endpoint.
type endpoint struct {
	address string
	// turn holds one token; who has it may use conn. A channel lets a waiting
	// call give up at its deadline.
	turn chan struct{}
	conn *pgconn.PgConn
}

func newEndpoint(address string) *endpoint {
	e := &endpoint{address: address, turn: make(chan struct{}, 1)}
	e.turn <- struct{}{}
	return e
}

func (e *endpoint) query(ctx context.Context, query string, args []string) ([][]byte, error) {
	select {
	case <-e.turn:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { e.turn <- struct{}{} }()
	cached := e.conn != nil && !e.conn.IsClosed()
	row, err := e.attempt(ctx, query, args)
	// The endpoint may have closed the cached connection since the last call. The
	// calls may be repeated.
	if cached && err != nil && e.conn.IsClosed() && ctx.Err() == nil {
		row, err = e.attempt(ctx, query, args)
	}
	return row, err
}

func (e *endpoint) attempt(ctx context.Context, query string, args []string) ([][]byte, error) {
	if err := e.connect(ctx); err != nil {
		return nil, err
	}
	values := make([][]byte, len(args))
	for i, a := range args {
		values[i] = []byte(a)
	}
	res := e.conn.ExecParams(ctx, query, values, nil, nil, nil).Read()
	if res.Err != nil {
		return nil, res.Err
	}
	if len(res.Rows) != 1 {
		return nil, errors.Newf("%d rows in the answer of group control", len(res.Rows))
	}
	return res.Rows[0], nil
}

func (e *endpoint) connect(ctx context.Context) error {
	if e.conn != nil && !e.conn.IsClosed() {
		return nil
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://%s@%s/postgres?sslmode=disable", User, e.address))
	if err != nil {
		return err
	}
	e.conn, err = pgconn.ConnectConfig(ctx, cfg)
	return err
}

// close closes the connection unless a call uses it.
func (e *endpoint) close() {
	select {
	case <-e.turn:
	default:
		return
	}
	defer func() { e.turn <- struct{}{} }()
	if e.conn != nil {
		_ = e.conn.Conn().Close()
		e.conn = nil
	}
}
