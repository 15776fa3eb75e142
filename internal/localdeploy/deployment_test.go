package localdeploy_test

import (
	"context"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/localdeploy"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

func startDeployment(t *testing.T, cfg localdeploy.Config) *localdeploy.Deployment {
	t.Helper()
	cfg.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: "15:04:05.000"}).With().Timestamp().Logger()
	d, err := localdeploy.Start(context.Background(), cfg)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func createTables(t *testing.T, d *localdeploy.Deployment, pool string) {
	t.Helper()
	g := NewWithT(t)
	conn, err := workload.Connect(context.Background(), d.Hosts[0].CallerAddress(), pool, "setup")
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close(context.Background())
	// The first owner of a pool starts no write until its read lease is reliable. A
	// statement with a short deadline is refused until then.
	g.Eventually(func() error {
		_, err := conn.Exec(context.Background(), workload.CreateBookingsSQL)
		return err
	}, 10*time.Second).Should(Succeed())
	g.Eventually(func() bool { return d.ReplicasCaughtUp(pool) }, 10*time.Second, 5*time.Millisecond).Should(BeTrue())
}

func entries(d *localdeploy.Deployment) []string {
	var out []string
	for _, h := range d.Hosts {
		out = append(out, h.CallerAddress())
	}
	return out
}

// Guards against a host through which a session cannot book or look up: each request of
// the session goes through another host.
func TestSessionReadsItsBookingThroughEveryEntry(t *testing.T) {
	g := NewWithT(t)
	d := startDeployment(t, localdeploy.Config{})
	createTables(t, d, "members")
	recorder := &history.Recorder{}
	s := &workload.Session{Name: "anna", Pool: "members", Entries: entries(d), Recorder: recorder}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range 20 {
		g.Expect(s.Book(ctx, "").Result).To(Equal(history.OK))
		g.Expect(s.Lookup(ctx).Result).To(Equal(history.OK))
	}
	stored, err := workload.CountStored(ctx, d.Hosts[0].CallerAddress(), "members")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history.Check(recorder.Ops(), stored)).To(BeEmpty())
}
