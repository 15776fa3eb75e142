package owner

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against reusing a connection whose transaction is still open: the next
// caller's statements would run inside that transaction.
func TestConnectionInTransactionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s, err := database.Start(database.Config{DataDir: t.TempDir()})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = s.Close() })
	ep := manifest.Endpoint{Address: s.Address(), Connections: 10}
	p := newConnPool(manifest.Pool{Database: "members", User: "app"}, ep, 0, metrics.NewRegistry())
	t.Cleanup(p.close)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	idle, err := p.get(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	_, _, err = idle.exec("SELECT 1")
	g.Expect(err).NotTo(HaveOccurred())
	p.put(idle)
	again, err := p.get(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(BeIdenticalTo(idle), "an idle connection is reused")

	_, _, err = again.exec("BEGIN")
	g.Expect(err).NotTo(HaveOccurred())
	p.put(again)
	other, err := p.get(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other).NotTo(BeIdenticalTo(again), "a connection with an open transaction was reused")
}
