package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against one store call per heartbeat of an endpoint: 24 endpoints that write
// every 1.2 s caused 1,500 calls in a day with little load on svfb-trestle-grown. Only
// two hosts read, each at most every 0.6 s.
func TestHeartbeatsDoNotIncreaseStoreCalls(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	calls := func() int {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.feedCalls[gateway.TableEndpoints]
	}
	before := calls()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.listEndpoint("e2", func(*gateway.Endpoint) {})
	}
	g.Expect(calls() - before).To(And(BeNumerically(">", 0), BeNumerically("<=", 2*6)))
}
