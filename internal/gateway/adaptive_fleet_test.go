package gateway_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against statements that fail, and limits that are never learned, with the learned
// limits switched on in a fleet whose hosts use relay hosts.
func TestFleetServesWithLearnedLimits(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := newFleet(12)
	var mu sync.Mutex
	var registries []*metrics.Registry
	f.configure = func(cfg *gateway.Config) {
		mu.Lock()
		defer mu.Unlock()
		cfg.AdaptiveConcurrency = true
		registries = append(registries, cfg.Metrics)
	}
	f.startAll(t, "h1", "h2", "h3", "h4", "h5")
	for name := range f.hosts {
		c := f.caller(name, "own")
		for range 60 {
			r := c.do(write("k"+name, "1"))
			g.Expect(r.OK()).To(BeTrue(), "%s: %s", name, r.Detail)
			r = c.do(read("k" + name))
			g.Expect(r.OK()).To(BeTrue(), "%s: %s", name, r.Detail)
		}
	}
	raised := int64(0)
	for _, r := range registries {
		raised += r.Count(metrics.ConcurrencyRaised)
	}
	g.Expect(raised).To(BeNumerically(">", 0))
}
