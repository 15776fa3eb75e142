package database_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

const testTimeout = 10 * time.Second

func startGroup(t *testing.T, n int, cfg database.Config) *database.Group {
	t.Helper()
	cfg.DataDir = t.TempDir()
	g, err := database.StartGroup(n, cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = g.Close() })
	return g
}

func connect(t *testing.T, address string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := pgx.Connect(ctx, "postgres://app@"+address+"/club?sslmode=disable")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t *testing.T, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := conn.Exec(ctx, sql, args...); err != nil {
		t.Fatalf("%s: %v", sql, err)
	}
}

func queryOne[T any](conn *pgx.Conn, sql string, args ...any) (T, error) {
	var v T
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return v, conn.QueryRow(ctx, sql, args...).Scan(&v)
}

func sqlStateOf(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// Guards against types that are encoded or decoded wrongly in the extended protocol with
// binary formats or in simple queries with text.
func TestTypesRoundTrip(t *testing.T) {
	modes := map[string]pgx.QueryExecMode{
		"default":  pgx.QueryExecModeCacheStatement,
		"describe": pgx.QueryExecModeDescribeExec,
		"exec":     pgx.QueryExecModeExec,
		"simple":   pgx.QueryExecModeSimpleProtocol,
	}
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			conn := connect(t, startGroup(t, 1, database.Config{}).Servers[0].Address())
			exec(t, conn, "CREATE TABLE kinds (a INT PRIMARY KEY, b BIGINT, c TEXT, d BOOLEAN, e DOUBLE PRECISION, f TIMESTAMPTZ)")
			at := time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC)
			tag, err := conn.Exec(context.Background(),
				"INSERT INTO kinds (a, b, c, d, e, f) VALUES ($1, $2, $3, $4, $5, $6)",
				mode, 1, int64(1)<<40, "it's", true, 2.5, at)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(tag.String()).To(Equal("INSERT 0 1"))

			var (
				a int32
				b int64
				c string
				d bool
				e float64
				f time.Time
			)
			row := conn.QueryRow(context.Background(), "SELECT a, b, c, d, e, f FROM kinds WHERE a = $1", mode, 1)
			g.Expect(row.Scan(&a, &b, &c, &d, &e, &f)).To(Succeed())
			g.Expect([]any{a, b, c, d, e, f.UTC()}).To(Equal([]any{int32(1), int64(1) << 40, "it's", true, 2.5, at}))

			g.Expect(queryOne[int64](conn, "SELECT count(*) FROM kinds WHERE d = $1", mode, true)).To(Equal(int64(1)))
			g.Expect(queryOne[string](conn, "SELECT $1::text", mode, "x")).To(Equal("x"))
			g.Expect(queryOne[int64](conn, "INSERT INTO kinds (a, b) VALUES ($1, $2) RETURNING b", mode, 2, 7)).To(Equal(int64(7)))
			g.Expect(queryOne[*string](conn, "SELECT c FROM kinds WHERE a = $1", mode, 2)).To(BeNil())
		})
	}
}

// Guards against wrong SQLSTATEs, and against statements that run in a failed
// transaction.
func TestErrorsAndTransactionState(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	conn := connect(t, startGroup(t, 1, database.Config{}).Servers[0].Address())
	exec(t, conn, "CREATE TABLE slots (id INT PRIMARY KEY, name TEXT NOT NULL)")
	exec(t, conn, "INSERT INTO slots VALUES (1, 'a')")

	for sql, want := range map[string]string{
		"INSERT INTO slots VALUES (1, 'b')":       "23505",
		"INSERT INTO slots (id) VALUES (2)":       "23502",
		"SELECT * FROM missing":                   "42P01",
		"SELECT missing FROM slots":               "42703",
		"SELEC 1":                                 "42601",
		"SELECT FROM WHERE":                       "42601",
		"SAVEPOINT a":                             "0A000",
		"INSERT INTO slots VALUES ($1, 'b', 'c')": "42601",
	} {
		_, err := conn.Exec(ctx, sql)
		g.Expect(sqlStateOf(err)).To(Equal(want), "%s: %v", sql, err)
	}

	tx, err := conn.Begin(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO slots VALUES (3, 'c')")
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO slots VALUES (1, 'b')")
	g.Expect(sqlStateOf(err)).To(Equal("23505"))
	g.Expect(conn.PgConn().TxStatus()).To(Equal(byte('E')))
	_, err = tx.Exec(ctx, "SELECT 1")
	g.Expect(sqlStateOf(err)).To(Equal("25P02"))
	g.Expect(tx.Commit(ctx)).To(MatchError(pgx.ErrTxCommitRollback))
	g.Expect(queryOne[int64](conn, "SELECT count(*) FROM slots")).To(Equal(int64(1)))
}

// Guards against a query with several statements that is committed in part.
func TestSimpleQueryIsOneTransaction(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	conn := connect(t, startGroup(t, 1, database.Config{}).Servers[0].Address())
	exec(t, conn, "CREATE TABLE slots (id INT PRIMARY KEY)")

	_, err := conn.PgConn().Exec(ctx, "INSERT INTO slots VALUES (1); INSERT INTO slots VALUES (1)").ReadAll()
	g.Expect(sqlStateOf(err)).To(Equal("23505"))
	g.Expect(queryOne[int64](conn, "SELECT count(*) FROM slots")).To(Equal(int64(0)))

	results, err := conn.PgConn().Exec(ctx, "/* kind=x */ INSERT INTO slots VALUES (1); SELECT id FROM slots;").ReadAll()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(results).To(HaveLen(2))
	g.Expect(string(results[1].Rows[0][0])).To(Equal("1"))
	g.Expect(queryOne[string](conn, "SELECT platform_log_position()")).To(Equal("1/3"))
}

// Guards against an open write transaction that blocks readers or whose changes are
// visible to them.
func TestReadersSeeCommittedRowsDuringOpenWrite(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	address := startGroup(t, 1, database.Config{}).Servers[0].Address()
	writer, reader := connect(t, address), connect(t, address)
	exec(t, writer, "CREATE TABLE slots (id INT PRIMARY KEY)")
	tx, err := writer.Begin(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = tx.Exec(ctx, "INSERT INTO slots VALUES ($1)", 1)
	g.Expect(err).NotTo(HaveOccurred())

	g.Expect(queryOne[int64](reader, "SELECT count(*) FROM slots")).To(Equal(int64(0)))
	g.Expect(tx.Commit(ctx)).To(Succeed())
	g.Expect(queryOne[int64](reader, "SELECT count(*) FROM slots")).To(Equal(int64(1)))
}

// Guards against limits of connections, slots or idle time that are not enforced.
func TestLimits(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	server := startGroup(t, 1, database.Config{
		Connections: 2, Slots: 1, IdleInTransaction: 100 * time.Millisecond,
	}).Servers[0]
	a, b := connect(t, server.Address()), connect(t, server.Address())
	_, err := pgx.Connect(ctx, "postgres://app@"+server.Address()+"/club?sslmode=disable")
	g.Expect(sqlStateOf(err)).To(Equal("53300"))

	started := time.Now()
	done := make(chan error, 1)
	go func() {
		_, err := queryOne[int64](a, "SELECT platform_work(200)")
		done <- err
	}()
	_, err = queryOne[int64](b, "SELECT platform_work($1)", 200)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-done).NotTo(HaveOccurred())
	g.Expect(time.Since(started)).To(BeNumerically(">=", 400*time.Millisecond))

	exec(t, a, "BEGIN")
	exec(t, a, "CREATE TABLE slots (id INT)")
	time.Sleep(300 * time.Millisecond)
	_, err = a.Exec(ctx, "COMMIT")
	g.Expect(err).To(HaveOccurred())
	_, err = b.Exec(ctx, "SELECT * FROM slots")
	g.Expect(sqlStateOf(err)).To(Equal("42P01"))
}

// Guards against a cancel request that does not stop the running statement.
func TestCancelRequest(t *testing.T) {
	g := NewWithT(t)
	conn := connect(t, startGroup(t, 1, database.Config{}).Servers[0].Address())
	time.AfterFunc(50*time.Millisecond, func() { _ = conn.PgConn().CancelRequest(context.Background()) })
	_, err := queryOne[int64](conn, "SELECT platform_work(5000)")
	g.Expect(sqlStateOf(err)).To(Equal("57014"))
	g.Expect(queryOne[int32](conn, "SELECT 1")).To(Equal(int32(1)))
}
