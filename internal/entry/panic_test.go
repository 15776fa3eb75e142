package entry_test

import (
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// panickingViews panics once while armed.
type panickingViews struct {
	entry.ViewSource
	armed atomic.Bool
}

func (v *panickingViews) View() *control.View {
	if v.armed.CompareAndSwap(true, false) {
		panic("injected")
	}
	return v.ViewSource.View()
}

// Guards against a panic in the work on one connection that ends the process or keeps the
// connection open.
func TestPanicOnCallerConnectionClosesOnlyThatConnection(t *testing.T) {
	g := NewWithT(t)
	var views *panickingViews
	registry := metrics.NewRegistry()
	h := newHarness(t, func(cfg *entry.Config) {
		views = &panickingViews{ViewSource: cfg.Views}
		cfg.Views, cfg.Guard = views, recovery.NewGuard(registry, zerolog.Nop())
	})
	views.armed.Store(true)
	_, err := pgx.Connect(testContext(t), h.dsn(""))
	g.Expect(err).To(HaveOccurred())
	// The connection is closed before the panic is counted.
	g.Eventually(func() int64 { return registry.Count(metrics.Panics) }).Should(Equal(int64(1)))
	h.connect(t, "")
}
