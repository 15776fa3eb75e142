// Package workload plays the users' sessions against a deployment: bookings and
// lookups whose results are recorded for the history checker. A session moves
// to another entry with each request.
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

// Schema creates the tables of the workload.
const Schema = `CREATE TABLE IF NOT EXISTS bookings (id text PRIMARY KEY, session text NOT NULL, seq integer NOT NULL, frame text UNIQUE)`

// operationTimeout bounds one operation; longer ones end as unknown.
const operationTimeout = 15 * time.Second

// maxAttempts bounds how often a keyed booking is sent.
const maxAttempts = 4

// Session is one user's session. It is not safe for concurrent use.
type Session struct {
	Name string
	// Pool is the database to connect to.
	Pool string
	// Entries are the addresses that the session uses in turn.
	Entries  []string
	Recorder *history.Recorder
	// Keyed adds a request key to each booking and repeats it after an unknown
	// outcome.
	Keyed bool

	conns map[string]*pgx.Conn
	next  int
	seq   int
}

// Book inserts a booking, of a frame if one is given.
func (s *Session) Book(ctx context.Context, frame string) history.Op {
	s.seq++
	op := history.Op{
		Kind:    history.Book,
		Session: s.Name,
		ID:      fmt.Sprintf("%s-%d", s.Name, s.seq),
		Seq:     s.seq,
		Frame:   frame,
	}
	op = s.run(ctx, op, s.insert)
	if s.Keyed {
		op = s.repeatUnknown(ctx, op)
	}
	s.Recorder.Add(op)
	return op
}

// repeatUnknown repeats a booking under its request key while its outcome is
// unknown. A repeat that did not run leaves the outcome of the first unknown.
func (s *Session) repeatUnknown(ctx context.Context, op history.Op) history.Op {
	start := op.Start
	for n := 2; n <= maxAttempts && op.Result == history.Unknown; n++ {
		op = s.run(ctx, op, s.insert)
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
	if s.Keyed {
		sql = fmt.Sprintf("/* request_key=%s */ %s", op.ID, sql)
	}
	_, err := conn.Exec(ctx, sql, op.ID, op.Session, op.Seq, frame)
	return err
}

// Lookup reads the session's highest booking; replicas may answer.
func (s *Session) Lookup(ctx context.Context) history.Op {
	op := s.run(ctx, history.Op{Kind: history.Lookup, Session: s.Name},
		func(ctx context.Context, conn *pgx.Conn, op *history.Op) error {
			sql := "/* kind=lookup */ SELECT coalesce(max(seq), 0) FROM bookings WHERE session = $1"
			return conn.QueryRow(ctx, sql, op.Session).Scan(&op.Seq)
		})
	s.Recorder.Add(op)
	return op
}

// Holder reads who holds a frame, on the primary.
func (s *Session) Holder(ctx context.Context, frame string) history.Op {
	op := s.run(ctx, history.Op{Kind: history.Holder, Session: s.Name, Frame: frame},
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

// run performs one operation on the next entry and classifies its result.
func (s *Session) run(ctx context.Context, op history.Op, f func(context.Context, *pgx.Conn, *history.Op) error) history.Op {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	op.Start = time.Now()
	entry := s.Entries[s.next%len(s.Entries)]
	s.next++
	conn, err := s.conn(ctx, entry)
	if err != nil {
		op.End = time.Now()
		op.Result = history.NotRun
		return op
	}
	err = f(ctx, conn, &op)
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

func (s *Session) conn(ctx context.Context, entry string) (*pgx.Conn, error) {
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

// Connect opens a connection of a session to an entry.
func Connect(ctx context.Context, entry, pool, session string) (*pgx.Conn, error) {
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://app@%s/%s?sslmode=disable&connect_timeout=3", entry, pool))
	if err != nil {
		return nil, err
	}
	cfg.RuntimeParams["beryltrestle.session"] = session
	return pgx.ConnectConfig(ctx, cfg)
}

// uniqueViolation is the SQLSTATE of a frame that is taken.
const uniqueViolation = "23505"

// ResultOf classifies what a caller was told.
func ResultOf(err error) history.Result {
	if err == nil {
		return history.OK
	}
	var pg *pgconn.PgError
	if !errors.As(err, &pg) {
		if pgconn.SafeToRetry(err) {
			// The driver sent nothing, since it knew that the connection was closed.
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

// ReasonOf returns the counter name in an error's DETAIL, empty if none.
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
