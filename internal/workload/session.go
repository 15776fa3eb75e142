// Package workload simulates user sessions against a deployment. The sessions book and
// look up, and record the results for the checks of package history. A session sends
// each request through another host.
package workload

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/beryltrestle/beryltrestle/internal/history"
)

// CreateBookingsSQL creates the table that the sessions use.
const CreateBookingsSQL = `CREATE TABLE IF NOT EXISTS bookings (id text PRIMARY KEY, session text NOT NULL, seq integer NOT NULL, frame text UNIQUE)`

// operationTimeout bounds one operation. The outcome of a longer one is unknown.
const operationTimeout = 15 * time.Second

// maxAttempts bounds how often a booking with a request key is sent.
const maxAttempts = 4

// Session is the session of one user. It is not safe for concurrent use.
type Session struct {
	Name string
	// Pool is the database name that the session connects to.
	Pool string
	// Entries are the host addresses that the session uses in turn.
	Entries  []string
	Recorder *history.Recorder
	// RequestKeys adds a request key to each booking. Bookings whose outcome is
	// unknown are then sent again.
	RequestKeys bool

	conns     map[string]*pgx.Conn
	nextEntry int
	lastSeq   int
}

// Book inserts a booking. An empty frame means a booking without a frame.
func (s *Session) Book(ctx context.Context, frame string) history.Op {
	s.lastSeq++
	op := history.Op{
		Kind:    history.Book,
		Session: s.Name,
		ID:      fmt.Sprintf("%s-%d", s.Name, s.lastSeq),
		Seq:     s.lastSeq,
		Frame:   frame,
	}
	op = s.runOperation(ctx, op, s.insert)
	if s.RequestKeys {
		op = s.repeatUnknown(ctx, op)
	}
	s.Recorder.Add(op)
	return op
}

// repeatUnknown sends a booking again with the same request key while its outcome is
// unknown. If a repeat is refused as not run, the outcome of the first attempt remains
// unknown.
func (s *Session) repeatUnknown(ctx context.Context, op history.Op) history.Op {
	start := op.Start
	for n := 2; n <= maxAttempts && op.Result == history.Unknown; n++ {
		op = s.runOperation(ctx, op, s.insert)
		op.Start = start
		op.Attempts = n
		if op.Result == history.NotRun {
			op.Result = history.Unknown
		}
	}
	return op
}

func (s *Session) insert(ctx context.Context, conn *pgx.Conn, op *history.Op) error {
	var frame any
	if op.Frame != "" {
		frame = op.Frame
	}
	sql := "INSERT INTO bookings (id, session, seq, frame) VALUES ($1, $2, $3, $4)"
	if s.RequestKeys {
		sql = fmt.Sprintf("/* request_key=%s */ %s", op.ID, sql)
	}
	_, err := conn.Exec(ctx, sql, op.ID, op.Session, op.Seq, frame)
	return err
}

// Lookup reads the sequence number of the session's last booking; replicas may answer.
func (s *Session) Lookup(ctx context.Context) history.Op {
	op := s.runOperation(ctx, history.Op{Kind: history.Lookup, Session: s.Name},
		func(ctx context.Context, conn *pgx.Conn, op *history.Op) error {
			sql := "/* kind=lookup */ SELECT coalesce(max(seq), 0) FROM bookings WHERE session = $1"
			return conn.QueryRow(ctx, sql, op.Session).Scan(&op.Seq)
		})
	s.Recorder.Add(op)
	return op
}

// ReadHolder reads from the primary which booking holds the frame.
func (s *Session) ReadHolder(ctx context.Context, frame string) history.Op {
	op := s.runOperation(ctx, history.Op{Kind: history.ReadHolder, Session: s.Name, Frame: frame},
		func(ctx context.Context, conn *pgx.Conn, op *history.Op) error {
			err := conn.QueryRow(ctx, "SELECT id FROM bookings WHERE frame = $1", op.Frame).Scan(&op.Holder)
			if errors.Is(err, pgx.ErrNoRows) {
				return nil
			}
			return err
		})
	s.Recorder.Add(op)
	return op
}

// runOperation runs one operation through the next host and sets its result and times.
func (s *Session) runOperation(ctx context.Context, op history.Op, execute func(context.Context, *pgx.Conn, *history.Op) error) history.Op {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	op.Start = time.Now()
	entry := s.Entries[s.nextEntry%len(s.Entries)]
	s.nextEntry++
	conn, err := s.connTo(ctx, entry)
	if err != nil {
		op.End = time.Now()
		op.Result = history.NotRun
		return op
	}
	err = execute(ctx, conn, &op)
	op.End = time.Now()
	op.Result = ResultOf(err)
	op.Reason = ReasonOf(err)
	if err != nil && op.Reason == "" && op.Result != history.Taken {
		op.Reason = err.Error()
	}
	if conn.IsClosed() {
		delete(s.conns, entry)
	}
	return op
}

// connTo returns the session's connection to the host and opens it if necessary.
func (s *Session) connTo(ctx context.Context, entry string) (*pgx.Conn, error) {
	if c, ok := s.conns[entry]; ok {
		return c, nil
	}
	c, err := Connect(ctx, entry, s.Pool, s.Name)
	if err != nil {
		return nil, err
	}
	if s.conns == nil {
		s.conns = make(map[string]*pgx.Conn)
	}
	s.conns[entry] = c
	return c, nil
}

// Close closes the session's connections.
func (s *Session) Close() {
	for _, c := range s.conns {
		_ = c.Close(context.Background())
	}
	s.conns = nil
}

// Connect opens a connection of the session to the pool through the host at the
// address entry.
func Connect(ctx context.Context, entry, pool, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://app@%s/%s?sslmode=disable&connect_timeout=3", entry, pool))
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["beryltrestle.session"] = session
	return pgx.ConnectConfig(ctx, cfg)
}

// uniqueViolation is the SQLSTATE with which the database refuses a frame that another
// booking holds.
const uniqueViolation = "23505"

// ResultOf returns the result of an operation that returned err.
func ResultOf(err error) history.Result {
	if err == nil {
		return history.OK
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if pgconn.SafeToRetry(err) {
			// The driver sent nothing, because it found the connection closed.
			return history.NotRun
		}
		return history.Unknown
	}
	switch {
	case strings.Contains(pg.Detail, "outcome=not_run"):
		return history.NotRun
	case strings.Contains(pg.Detail, "outcome=unknown"):
		return history.Unknown
	case pg.Code == uniqueViolation:
		return history.Taken
	default:
		return history.Unknown
	}
}

// ReasonOf returns the reason in the DETAIL of an error, which is the name of a
// counter, or "" if there is none.
func ReasonOf(err error) string {
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		return ""
	}
	for field := range strings.FieldsSeq(pg.Detail) {
		if name, ok := strings.CutPrefix(field, "reason="); ok {
			return name
		}
	}
	return ""
}
