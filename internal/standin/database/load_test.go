package database_test

import (
	"context"
	"sync"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against lost or duplicate writes, and against replicas that differ from the
// primary, when many clients write concurrently.
func TestConcurrentWritersKeepReplicasEqual(t *testing.T) {
	g := NewWithT(t)
	group := startGroup(t, 2, database.Config{})
	exec(t, connect(t, group.Servers[0].Address()), "CREATE TABLE slots (id INTEGER PRIMARY KEY, who BIGINT)")
	const writers, each = 8, 50
	var wg sync.WaitGroup
	for i := range writers {
		conn := connect(t, group.Servers[0].Address())
		wg.Go(func() {
			for range each {
				_, err := conn.Exec(context.Background(), "INSERT INTO slots (who) VALUES ($1)", i)
				if err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
	g.Eventually(func() logpos.Position { return group.Servers[1].Status().Applied }, pollTimeout, pollInterval).
		Should(Equal(group.Servers[0].Status().Applied))
	const digest = "SELECT sum(id * (who + 1)) FROM slots"
	onPrimary, err := queryOne[int64](connect(t, group.Servers[0].Address()), digest)
	g.Expect(err).NotTo(HaveOccurred())
	replica := connect(t, group.Servers[1].Address())
	g.Expect(queryOne[int64](replica, digest)).To(Equal(onPrimary))
	g.Expect(queryOne[int64](replica, "SELECT count(*) FROM slots")).To(Equal(int64(writers * each)))
}

// Measures the cost of a write and of a read, which limits the load in tests.
func BenchmarkStatement(b *testing.B) {
	group, err := database.StartGroup(1, database.Config{})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = group.Close() }()
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, "postgres://app@"+group.Servers[0].Address()+"/club?sslmode=disable")
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close(ctx) }()
	if _, err := conn.Exec(ctx, "CREATE TABLE slots (id INTEGER PRIMARY KEY, who BIGINT)"); err != nil {
		b.Fatal(err)
	}
	for name, sql := range map[string]string{
		"write": "INSERT INTO slots (who) VALUES ($1)",
		"read":  "SELECT id FROM slots WHERE id = $1",
	} {
		b.Run(name, func(b *testing.B) {
			for i := range b.N {
				if _, err := conn.Exec(ctx, sql, i); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
