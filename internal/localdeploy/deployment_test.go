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

func start(t *testing.T, cfg localdeploy.Config) *localdeploy.Deployment {
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
	// The first owner starts no write before its read lease could be trusted, so
	// that a short deadline passes meanwhile.
	g.Eventually(func() error {
		_, err := conn.Exec(context.Background(), workload.Schema)
		return err
	}, 10*time.Second).Should(Succeed())
	g.Eventually(func() bool { return d.CaughtUp(pool) }, 10*time.Second, 5*time.Millisecond).Should(BeTrue())
}

func entries(d *localdeploy.Deployment) []string {
	var out []string
	for _, h := range d.Hosts {
		out = append(out, h.CallerAddress())
	}
	return out
}

// Guards against a path that is broken anywhere between a caller and its
// endpoint: each request goes through another entry.
func TestSessionReadsItsBookingThroughEveryEntry(t *testing.T) {
	g := NewWithT(t)
	d := start(t, localdeploy.Config{})
	createTables(t, d, "members")
	rec := &history.Recorder{}
	s := &workload.Session{Name: "anna", Pool: "members", Entries: entries(d), Recorder: rec}
	defer s.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for range 20 {
		g.Expect(s.Book(ctx, "").Result).To(Equal(history.OK))
		g.Expect(s.Lookup(ctx).Result).To(Equal(history.OK))
	}
	stored, err := workload.Stored(ctx, d.Hosts[0].CallerAddress(), "members")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history.Check(rec.Ops(), stored)).To(BeEmpty())
}
