package database_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/platform/groupctl"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

const (
	pollTimeout  = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

func newGroupControl(t *testing.T) *groupctl.Client {
	t.Helper()
	c := groupctl.New()
	t.Cleanup(c.Close)
	return c
}

func advanceTermOnAll(t *testing.T, c *groupctl.Client, g *database.Group, term uint64, holder string) {
	t.Helper()
	for _, a := range g.Addresses() {
		if _, err := c.AdvanceTerm(context.Background(), a, term, holder); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against constants of the stand-in that differ from those of the adapter.
func TestConstantsMatchThoseOfAdapter(t *testing.T) {
	g := NewWithT(t)
	g.Expect(database.StaleTermSQLState).To(Equal(groupctl.StaleTermSQLState))
	g.Expect(database.ControlUser).To(Equal(groupctl.User))
}

// Guards against replicas that miss entries or apply them before the apply lag.
func TestReplicasReceiveThenApply(t *testing.T) {
	g := NewWithT(t)
	group := startGroup(t, 3, database.Config{})
	conn := connect(t, group.Servers[0].Address())
	replica := connect(t, group.Servers[1].Address())
	group.Servers[1].SetFaults(func(f *database.Faults) { f.ApplyLag = time.Hour })
	exec(t, conn, "CREATE TABLE slots (id BIGINT PRIMARY KEY, booked TIMESTAMPTZ)")
	for i := range 20 {
		exec(t, conn, "INSERT INTO slots VALUES ($1, now())", i)
	}
	end := group.Servers[0].Status().Applied

	g.Eventually(func() logpos.Position { return group.Servers[1].Status().Received }, pollTimeout, pollInterval).
		Should(Equal(end))
	g.Expect(group.Servers[1].Status().Applied.Less(end)).To(BeTrue())
	g.Eventually(func() logpos.Position { return group.Servers[2].Status().Applied }, pollTimeout, pollInterval).
		Should(Equal(end))

	group.Servers[1].SetFaults(func(f *database.Faults) { f.ApplyLag = 0 })
	g.Eventually(func() (string, error) { return queryOne[string](replica, platform.LogPositionQuery) },
		pollTimeout, pollInterval).Should(Equal(end.String()))
	newest := "SELECT max(booked) FROM slots"
	onPrimary, err := queryOne[string](conn, newest, pgx.QueryExecModeSimpleProtocol)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(queryOne[string](replica, newest, pgx.QueryExecModeSimpleProtocol)).To(Equal(onPrimary))
	_, err = replica.Exec(context.Background(), "INSERT INTO slots VALUES (100, now())")
	g.Expect(sqlStateOf(err)).To(Equal("25006"))
}

// Guards against two claimants that both get the same term, and against a term that
// decreases.
func TestOneHolderPerTerm(t *testing.T) {
	g := NewWithT(t)
	group := startGroup(t, 1, database.Config{})
	address := group.Servers[0].Address()
	const claimants, terms = 2, 30
	won := make([][]uint64, claimants)
	var wg sync.WaitGroup
	for i := range claimants {
		c := newGroupControl(t)
		wg.Go(func() {
			for term := uint64(2); term < 2+terms; term++ {
				if _, err := c.AdvanceTerm(context.Background(), address, term, fmt.Sprint(i)); err == nil {
					won[i] = append(won[i], term)
				}
			}
		})
	}
	wg.Wait()
	holders := map[uint64]int{}
	for _, list := range won {
		for _, term := range list {
			holders[term]++
		}
	}
	for term, n := range holders {
		g.Expect(n).To(Equal(1), "term %d", term)
	}
	c := newGroupControl(t)
	var stale *platform.StaleTermError
	_, err := c.AdvanceTerm(context.Background(), address, 3, "late")
	g.Expect(err).To(BeAssignableToTypeOf(stale))
	g.Expect(c.Status(context.Background(), address)).To(HaveField("Term", uint64(1+terms)))
	_, err = c.Promote(context.Background(), address, 1+terms, "nobody")
	g.Expect(err).To(BeAssignableToTypeOf(stale))
}

// Guards against the commit of a transaction that was open when the term advanced, even
// if the same endpoint becomes primary of the new term.
func TestAdvanceTermFencesOpenTransactions(t *testing.T) {
	for _, reappoint := range []bool{false, true} {
		t.Run(fmt.Sprintf("reappoint=%v", reappoint), func(t *testing.T) {
			g := NewWithT(t)
			ctx := context.Background()
			group := startGroup(t, 1, database.Config{})
			address := group.Servers[0].Address()
			writer, idle := connect(t, address), connect(t, address)
			exec(t, writer, "CREATE TABLE slots (id INT PRIMARY KEY)")
			exec(t, idle, "BEGIN")
			exec(t, idle, "SELECT 1")
			exec(t, writer, "BEGIN")
			exec(t, writer, "INSERT INTO slots VALUES (1)")

			c := newGroupControl(t)
			status, err := c.AdvanceTerm(ctx, address, 2, "x")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Role).To(Equal(platform.RoleFenced))
			if reappoint {
				_, err = c.Promote(ctx, address, 2, "x")
				g.Expect(err).NotTo(HaveOccurred())
			}
			_, err = writer.Exec(ctx, "COMMIT")
			g.Expect(sqlStateOf(err)).To(Equal("25006"))
			_, err = idle.Exec(ctx, "INSERT INTO slots VALUES (2)")
			g.Expect(sqlStateOf(err)).To(Equal("25006"))
			g.Expect(queryOne[int64](writer, "SELECT count(*) FROM slots")).To(Equal(int64(0)))
			// A session of an earlier term must not write again, not even in a new
			// transaction. Only new sessions may.
			_, err = writer.Exec(ctx, "INSERT INTO slots VALUES (3)")
			g.Expect(sqlStateOf(err)).To(Equal("25006"))
			_, err = connect(t, address).Exec(ctx, "INSERT INTO slots VALUES (3)")
			if reappoint {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(group.Servers[0].Status().Applied).To(Equal(logpos.Position{Term: 2, Offset: 4}))
				return
			}
			g.Expect(sqlStateOf(err)).To(Equal("25006"))
		})
	}
}

// Guards against a replaced primary that keeps log entries which no other endpoint has,
// and against replicas that accept its log.
func TestDivergedLogIsTruncatedAfterFailover(t *testing.T) {
	g := NewWithT(t)
	ctx := context.Background()
	group := startGroup(t, 3, database.Config{})
	addresses := group.Addresses()
	old := connect(t, addresses[0])
	exec(t, old, "CREATE TABLE slots (id INT PRIMARY KEY)")
	exec(t, old, "INSERT INTO slots VALUES (1)")
	end := group.Servers[0].Status().Applied
	for _, s := range group.Servers[1:] {
		g.Eventually(func() logpos.Position { return s.Status().Applied }, pollTimeout, pollInterval).Should(Equal(end))
	}
	group.Servers[0].SetFaults(func(f *database.Faults) { f.CutReplication = true })
	exec(t, old, "INSERT INTO slots VALUES (2)")
	exec(t, old, "CREATE TABLE lost (id INT)")

	c := newGroupControl(t)
	for _, a := range addresses[1:] {
		_, err := c.AdvanceTerm(ctx, a, 2, "x")
		g.Expect(err).NotTo(HaveOccurred())
	}
	group.Servers[0].SetFaults(func(f *database.Faults) { f.CutReplication = false })
	_, err := c.Promote(ctx, addresses[1], 2, "x")
	g.Expect(err).NotTo(HaveOccurred())
	current := connect(t, addresses[1])
	exec(t, current, "INSERT INTO slots VALUES (3)")
	g.Consistently(func() logpos.Position { return group.Servers[2].Status().Received }, 200*time.Millisecond, pollInterval).
		Should(Equal(end), "a replica took the log of a replaced primary")

	advanceTermOnAll(t, c, group, 2, "x")
	for _, a := range []string{addresses[0], addresses[2]} {
		_, err := c.Follow(ctx, a, 2, "x", addresses[1])
		g.Expect(err).NotTo(HaveOccurred())
	}
	end = group.Servers[1].Status().Applied
	for _, s := range group.Servers {
		g.Eventually(func() logpos.Position { return s.Status().Applied }, pollTimeout, pollInterval).Should(Equal(end))
	}
	g.Expect(queryOne[int64](old, "SELECT sum(id) FROM slots")).To(Equal(int64(4)))
	_, err = old.Exec(ctx, "SELECT * FROM lost")
	g.Expect(sqlStateOf(err)).To(Equal("42P01"))
}

// Guards against a killed endpoint that loses its term, log or tables.
func TestRestartKeepsTermAndLog(t *testing.T) {
	g := NewWithT(t)
	group := startGroup(t, 2, database.Config{})
	addresses := group.Addresses()
	conn := connect(t, addresses[0])
	exec(t, conn, "CREATE TABLE slots (id INT PRIMARY KEY)")
	exec(t, conn, "INSERT INTO slots VALUES (1)")
	c := newGroupControl(t)
	advanceTermOnAll(t, c, group, 7, "x")
	before := group.Servers[0].Status()

	g.Expect(group.Servers[0].Kill()).To(Succeed())
	g.Expect(group.Restart(0)).To(Succeed())
	g.Expect(c.Status(context.Background(), addresses[0])).To(Equal(before))
	g.Expect(before.Role).To(Equal(platform.RoleFenced))
	_, err := c.Promote(context.Background(), addresses[0], 7, "x")
	g.Expect(err).NotTo(HaveOccurred())
	again := connect(t, addresses[0])
	exec(t, again, "INSERT INTO slots VALUES (2)")
	g.Eventually(func() logpos.Position { return group.Servers[1].Status().Applied }, pollTimeout, pollInterval).
		Should(Equal(group.Servers[0].Status().Applied))
}
