package measure

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// session is the session of one user, which runs one request at a time.
type session struct {
	name    string
	pool    string
	entries []string
	entry   int
	// idle holds a token while no request uses the session. It is a mutex that can
	// be acquired with a deadline.
	idle chan struct{}
	conn *pgx.Conn
	// confirmed is the sequence number of the session's last confirmed booking.
	confirmed int
}

func newSession(name, pool string, entries []string, firstEntry int) *session {
	s := &session{name: name, pool: pool, entries: entries, entry: firstEntry, idle: make(chan struct{}, 1)}
	s.idle <- struct{}{}
	return s
}

// acquire waits until the session's earlier request has ended. It returns false at
// the deadline, because a caller whose deadline has passed sends nothing.
func (s *session) acquire(ctx context.Context, deadline time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	select {
	case <-s.idle:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *session) release() { s.idle <- struct{}{} }

// switchEntry makes the next request connect to another host.
func (s *session) switchEntry() {
	s.close()
	s.entry++
}

func (s *session) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	conn, err := workload.Connect(ctx, s.entries[s.entry%len(s.entries)], s.pool, s.name)
	if err != nil {
		// The host may be down, so the next request tries another one.
		s.entry++
		return err
	}
	s.conn = conn
	return nil
}

func (s *session) close() {
	if s.conn != nil {
		_ = s.conn.Close(context.Background())
		s.conn = nil
	}
}
