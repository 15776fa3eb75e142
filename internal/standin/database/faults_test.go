package database_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

func postFaults(t *testing.T, server *database.Server, body string) int {
	t.Helper()
	resp, err := http.Post("http://"+server.AdminAddress()+"/faults", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against an endpoint that answers although it is cut off, and against group
// control calls that take longer than their deadline because an endpoint does not
// answer.
func TestCutEndpointDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	group := startGroup(t, 1, database.Config{AdminListen: "127.0.0.1:0"})
	address := group.Servers[0].Address()
	c := newGroupControl(t)
	_, err := c.Status(context.Background(), address)
	g.Expect(err).NotTo(HaveOccurred())

	g.Expect(postFaults(t, group.Servers[0], `{"cut": true}`)).To(Equal(http.StatusOK))
	const deadline = 150 * time.Millisecond
	for range 3 {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		started := time.Now()
		_, err = c.Status(ctx, address)
		cancel()
		g.Expect(err).To(HaveOccurred())
		g.Expect(time.Since(started)).To(BeNumerically("<", 10*deadline))
	}
	g.Expect(postFaults(t, group.Servers[0], `{"cut": false}`)).To(Equal(http.StatusOK))
	g.Expect(c.Status(context.Background(), address)).To(HaveField("Role", platform.RolePrimary))
	g.Expect(postFaults(t, group.Servers[0], `{"cutt": true}`)).To(Equal(http.StatusBadRequest))
}

// Guards against a control call that fails or waits because clients hold all connections
// or all slots.
func TestControlCallsIgnoreClientLimits(t *testing.T) {
	g := NewWithT(t)
	group := startGroup(t, 1, database.Config{Connections: 1, Slots: 1})
	address := group.Servers[0].Address()
	conn := connect(t, address)
	done := make(chan error, 1)
	go func() {
		_, err := queryOne[int64](conn, "SELECT platform_work(1000)")
		done <- err
	}()
	_, err := pgx.Connect(context.Background(), "postgres://app@"+address+"/club?sslmode=disable")
	g.Expect(sqlStateOf(err)).To(Equal("53300"))

	g.Expect(newGroupControl(t).AdvanceTerm(context.Background(), address, 2, "x")).To(HaveField("Term", uint64(2)))
	g.Expect(done).NotTo(Receive(), "the control call waited for the slot")
	g.Eventually(done, pollTimeout).Should(Receive(BeNil()))
}

// Guards against a request that is lost by a cut or a pause, or answered before it ends.
func TestCommitDuringFaultIsAnsweredAfterIt(t *testing.T) {
	for name, set := range map[string]func(f *database.Faults, on bool){
		"cut":   func(f *database.Faults, on bool) { f.CutClients = on },
		"pause": func(f *database.Faults, on bool) { f.Paused = on },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := startGroup(t, 1, database.Config{}).Servers[0]
			conn, reader := connect(t, server.Address()), connect(t, server.Address())
			exec(t, conn, "CREATE TABLE slots (id INT PRIMARY KEY)")
			exec(t, conn, "BEGIN")
			exec(t, conn, "INSERT INTO slots VALUES (1)")
			server.SetFaults(func(f *database.Faults) { set(f, true) })
			done := make(chan error, 1)
			go func() {
				_, err := conn.Exec(context.Background(), "COMMIT")
				done <- err
			}()
			g.Consistently(done, 100*time.Millisecond).ShouldNot(Receive())
			server.SetFaults(func(f *database.Faults) { set(f, false) })
			g.Eventually(done, pollTimeout).Should(Receive(BeNil()))
			g.Expect(queryOne[int64](reader, "SELECT count(*) FROM slots")).To(Equal(int64(1)))
		})
	}
}
