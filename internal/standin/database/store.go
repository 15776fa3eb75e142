package database

import (
	"context"
	"database/sql"
	"encoding/json"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

const (
	dataFile = "data.db"
	// dsnOptions use a write-ahead log, so that the writer does not block readers.
	// Synchronous writes are off: data survives without them when the process is
	// killed.
	dsnOptions     = "?_pragma=journal_mode(wal)&_pragma=synchronous(off)&_pragma=busy_timeout(10000)&_pragma=foreign_keys(1)"
	maxReaderConns = 16
	// internalTablePrefix is the prefix of the stand-in's internal tables.
	internalTablePrefix = "platform_"
)

const schema = `
CREATE TABLE IF NOT EXISTS platform_log (
	log_offset INTEGER PRIMARY KEY, term INTEGER NOT NULL, received_at INTEGER NOT NULL, body TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS platform_applied (
	id INTEGER PRIMARY KEY CHECK (id = 1), term INTEGER NOT NULL, log_offset INTEGER NOT NULL);
INSERT OR IGNORE INTO platform_applied VALUES (1, 0, 0);`

// store is the embedded SQL engine with the users' tables and the log.
type store struct {
	readers *sql.DB
	writer  *sql.DB
	// insertLog and updateApplied are prepared on the only connection of writer.
	insertLog     *sql.Stmt
	updateApplied *sql.Stmt
}

// querier is a reader pool or a transaction.
type querier interface {
	QueryContext(ctx context.Context, query string, args ...any) (*sql.Rows, error)
	QueryRowContext(ctx context.Context, query string, args ...any) *sql.Row
	ExecContext(ctx context.Context, query string, args ...any) (sql.Result, error)
}

func openStore(dir string) (*store, error) {
	path := "file:" + filepath.Join(dir, dataFile) + dsnOptions
	writer, err := sql.Open("sqlite", path+"&_txlock=immediate")
	if err != nil {
		return nil, err
	}
	writer.SetMaxOpenConns(1)
	if _, err := writer.Exec(schema); err != nil {
		return nil, errors.CombineErrors(err, writer.Close())
	}
	s := &store{writer: writer}
	if err := s.prepare(path); err != nil {
		return nil, errors.CombineErrors(err, writer.Close())
	}
	return s, nil
}

func (s *store) prepare(path string) error {
	var err error
	if s.insertLog, err = s.writer.Prepare("INSERT INTO platform_log VALUES (?, ?, ?, ?)"); err != nil {
		return err
	}
	if s.updateApplied, err = s.writer.Prepare("UPDATE platform_applied SET term = ?, log_offset = ?"); err != nil {
		return err
	}
	if s.readers, err = sql.Open("sqlite", path+"&_pragma=query_only(1)"); err != nil {
		return err
	}
	s.readers.SetMaxOpenConns(maxReaderConns)
	s.readers.SetMaxIdleConns(maxReaderConns)
	return nil
}

func (s *store) close() error {
	return errors.CombineErrors(s.readers.Close(), s.writer.Close())
}

func (s *store) begin() (*sql.Tx, error) {
	return s.writer.BeginTx(context.Background(), nil)
}

// logEnd returns the position of the last entry in the log.
func logEnd(q querier) (logpos.Position, error) {
	var p logpos.Position
	row := q.QueryRowContext(context.Background(),
		"SELECT term, log_offset FROM platform_log ORDER BY log_offset DESC LIMIT 1")
	err := row.Scan(&p.Term, &p.Offset)
	if errors.Is(err, sql.ErrNoRows) {
		return logpos.Position{}, nil
	}
	return p, err
}

func appliedPosition(q querier) (logpos.Position, error) {
	var p logpos.Position
	row := q.QueryRowContext(context.Background(), "SELECT term, log_offset FROM platform_applied")
	return p, row.Scan(&p.Term, &p.Offset)
}

func (s *store) setApplied(tx *sql.Tx, p logpos.Position) error {
	_, err := tx.Stmt(s.updateApplied).Exec(int64(p.Term), int64(p.Offset))
	return err
}

func (s *store) appendEntry(tx *sql.Tx, e receivedEntry) error {
	body, err := json.Marshal(e.Entry)
	if err != nil {
		return err
	}
	_, err = tx.Stmt(s.insertLog).Exec(int64(e.Offset), int64(e.Term), e.receivedAt.UnixNano(), string(body))
	return err
}

// receivedEntry is a log entry with the time at which the endpoint received it.
type receivedEntry struct {
	Entry
	receivedAt time.Time
}

func readEntries(ctx context.Context, q querier, after uint64, limit int) ([]receivedEntry, error) {
	rows, err := q.QueryContext(ctx,
		"SELECT received_at, body FROM platform_log WHERE log_offset > ? ORDER BY log_offset LIMIT ?",
		int64(after), limit)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var out []receivedEntry
	for rows.Next() {
		e, err := scanEntry(rows)
		if err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	return out, rows.Err()
}

func scanEntry(rows *sql.Rows) (receivedEntry, error) {
	var e receivedEntry
	var at int64
	var body string
	if err := rows.Scan(&at, &body); err != nil {
		return e, err
	}
	e.receivedAt = time.Unix(0, at)
	return e, json.Unmarshal([]byte(body), &e.Entry)
}

// termAt returns the term of the entry at the offset, or 0 if there is none.
func termAt(q querier, offset uint64) (uint64, error) {
	var term uint64
	row := q.QueryRowContext(context.Background(),
		"SELECT term FROM platform_log WHERE log_offset = ?", int64(offset))
	err := row.Scan(&term)
	if errors.Is(err, sql.ErrNoRows) {
		return 0, nil
	}
	return term, err
}

func termRanges(q querier) ([]TermRange, error) {
	rows, err := q.QueryContext(context.Background(),
		"SELECT term, min(log_offset), max(log_offset) FROM platform_log GROUP BY term ORDER BY term")
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var out []TermRange
	for rows.Next() {
		var r TermRange
		if err := rows.Scan(&r.Term, &r.First, &r.Last); err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, rows.Err()
}

func applyEntry(q querier, e Entry) error {
	for _, st := range e.Statements {
		args, err := decodeValues(st.Values)
		if err != nil {
			return err
		}
		if _, err := q.ExecContext(context.Background(), st.SQL, args...); err != nil {
			return errors.Wrapf(err, "apply entry %s", e.Position())
		}
	}
	return nil
}

// dropTables drops all tables and views of users.
func dropTables(q querier) error {
	objects, err := userObjects(q)
	if err != nil {
		return err
	}
	for _, o := range objects {
		if _, err := q.ExecContext(context.Background(), "DROP "+o); err != nil {
			return err
		}
	}
	return nil
}

func userObjects(q querier) ([]string, error) {
	rows, err := q.QueryContext(context.Background(),
		"SELECT type, name FROM sqlite_master WHERE type IN ('table', 'view') ORDER BY rowid DESC")
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var out []string
	for rows.Next() {
		var kind, name string
		if err := rows.Scan(&kind, &name); err != nil {
			return nil, err
		}
		if !strings.HasPrefix(name, internalTablePrefix) && !strings.HasPrefix(name, "sqlite_") {
			out = append(out, kind+` "`+name+`"`)
		}
	}
	return out, rows.Err()
}
