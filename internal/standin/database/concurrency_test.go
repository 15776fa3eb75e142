package database_test

import (
	"context"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against a deadlock: an open write transaction blocks other writers, and these
// hold the slot that its COMMIT needs.
func TestOpenTransactionBlocksNoWriter(t *testing.T) {
	g := NewWithT(t)
	address := startGroup(t, 1, database.Config{Slots: 1}).Servers[0].Address()
	a, b := connect(t, address), connect(t, address)
	exec(t, a, "CREATE TABLE slots (id INT PRIMARY KEY, free INT)")
	exec(t, a, "INSERT INTO slots VALUES (1, 5), (2, 5)")
	exec(t, a, "BEGIN")
	exec(t, a, "UPDATE slots SET free = free - 1 WHERE id = $1", 1)
	exec(t, b, "BEGIN")
	exec(t, b, "UPDATE slots SET free = free - 2 WHERE id = $1", 2)
	exec(t, connect(t, address), "INSERT INTO slots VALUES (3, 5)")
	g.Expect(queryOne[int64](a, "SELECT sum(free) FROM slots")).To(Equal(int64(14)))
	g.Expect(queryOne[int64](b, "SELECT sum(free) FROM slots")).To(Equal(int64(13)))
	exec(t, b, "COMMIT")
	exec(t, a, "COMMIT")
	g.Expect(queryOne[int64](a, "SELECT sum(free) FROM slots")).To(Equal(int64(12)))
}

// Guards against a lost update: of two transactions that read the same row with FOR
// UPDATE and change it, only one may commit.
func TestConflictingTransactionsDoNotBothCommit(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	address := startGroup(t, 1, database.Config{}).Servers[0].Address()
	a, b := connect(t, address), connect(t, address)
	exec(t, a, "CREATE TABLE slots (id INT PRIMARY KEY, free INT)")
	exec(t, a, "INSERT INTO slots VALUES (1, 1)")
	for _, conn := range []*pgx.Conn{a, b} {
		exec(t, conn, "BEGIN")
		g.Expect(queryOne[int32](conn, "SELECT free FROM slots WHERE id = 1 FOR UPDATE")).To(Equal(int32(1)))
		exec(t, conn, "UPDATE slots SET free = 0 WHERE id = 1")
	}
	exec(t, a, "COMMIT")
	_, err := b.Exec(ctx, "COMMIT")
	g.Expect(sqlStateOf(err)).To(Equal("40001"))
	g.Expect(b.PgConn().TxStatus()).To(Equal(byte('I')))
	exec(t, b, "UPDATE slots SET free = 7 WHERE id = 1")
}

// Guards against a batch of protocol messages without Sync whose transaction, and with
// it the write lock, is never released.
func TestBatchWithoutSyncIsRolledBack(t *testing.T) {
	g := NewWithT(t)
	address := startGroup(t, 1, database.Config{IdleInTransaction: pollTimeout / 100}).Servers[0].Address()
	a, b := connect(t, address), connect(t, address)
	exec(t, a, "CREATE TABLE slots (id INT PRIMARY KEY)")
	front := a.PgConn().Frontend()
	front.SendParse(&pgproto3.Parse{Query: "INSERT INTO slots VALUES (1)"})
	front.SendBind(&pgproto3.Bind{})
	front.SendExecute(&pgproto3.Execute{})
	g.Expect(front.Flush()).To(Succeed())
	exec(t, b, "INSERT INTO slots VALUES (2)")
	g.Eventually(func() (int64, error) { return queryOne[int64](b, "SELECT count(*) FROM slots WHERE id = 1") },
		pollTimeout, pollInterval).Should(Equal(int64(0)))
}
