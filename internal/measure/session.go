package measure

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// session is one user's session. Requests of a session run one after another.
type session struct {
	name    string
	pool    string
	entries []string
	entry   int
	// turn holds one token; who has it may use the session.
	turn chan struct{}
	conn *pgx.Conn
	// confirmed is the sequence of the session's last confirmed booking.
	confirmed int
}

func newSession(name, pool string, entries []string, entry int) *session {
	s := &session{name: name, pool: pool, entries: entries, entry: entry, turn: make(chan struct{}, 1)}
	s.turn <- struct{}{}
	return s
}

// acquire waits for the session's earlier request until giveUp: a caller whose
// deadline has passed sends nothing.
func (s *session) acquire(ctx context.Context, giveUp time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, giveUp)
	defer cancel()
	select {
	case <-s.turn:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *session) release() { s.turn <- struct{}{} }

// move makes the next request use another entry.
func (s *session) move() {
	s.close()
	s.entry++
}

func (s *session) connect(ctx context.Context) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	conn, err := workload.Connect(ctx, s.entries[s.entry%len(s.entries)], s.pool, s.name)
	if err != nil {
		// The entry may be down; the next request tries another.
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
