package groupctl

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// endpoint holds the control connection to one endpoint.
type endpoint struct {
	address string
	// sem contains one token; the call that has taken it may use conn. Unlike a
	// mutex, a channel lets a waiting call abort at its deadline.
	sem  chan struct{}
	conn *pgconn.PgConn
}

func newEndpoint(address string) *endpoint {
	e := &endpoint{address: address, sem: make(chan struct{}, 1)}
	e.sem <- struct{}{}
	return e
}

func (e *endpoint) query(ctx context.Context, query string, args []string) ([][]byte, error) {
	select {
	case <-e.sem:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { e.sem <- struct{}{} }()
	cached := e.conn != nil && !e.conn.IsClosed()
	row, err := e.queryOnce(ctx, query, args)
	// The endpoint may have closed the cached connection since the last call. All
	// calls are idempotent, so this one can be repeated.
	if cached && err != nil && e.conn.IsClosed() && ctx.Err() == nil {
		row, err = e.queryOnce(ctx, query, args)
	}
	return row, err
}

func (e *endpoint) queryOnce(ctx context.Context, query string, args []string) ([][]byte, error) {
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
		return nil, errors.Newf("group control returned %d rows instead of one", len(res.Rows))
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

// close closes the connection unless a call is using it.
func (e *endpoint) close() {
	select {
	case <-e.sem:
	default:
		return
	}
	defer func() { e.sem <- struct{}{} }()
	if e.conn != nil {
		_ = e.conn.Conn().Close()
		e.conn = nil
	}
}
