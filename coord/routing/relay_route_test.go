package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/routing"
)

// Guards against a relay route that sends all requests through one host, and against one
// that is cleared because a later search found no host that reaches the endpoint.
func TestRelaysAreUsedInTurn(t *testing.T) {
	g := NewWithT(t)
	var route routing.RelayRoute
	g.Expect(route.Active()).To(BeFalse())
	route.SetRelays(at(0), []string{"a", "b"})
	counts := map[string]int{}
	for range 10 {
		counts[route.NextRelay()]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 5, "b": 5}))
	route.SetRelays(at(100), nil)
	g.Expect(route.Active()).To(BeTrue())
}

// Guards against a host that keeps using relays although the direct connection works
// again, and against one that dials the endpoint on every tick.
func TestRelayRouteRetriesDirectConnection(t *testing.T) {
	g := NewWithT(t)
	var route routing.RelayRoute
	g.Expect(route.TryDirect(at(0))).To(BeFalse(), "the direct connection is in use")
	route.SetRelays(at(0), []string{"a"})
	tried := 0
	for ms := 0; ms <= 2000; ms += 50 {
		if route.TryDirect(at(ms)) {
			tried++
		}
	}
	g.Expect(tried).To(Equal(int(2 * time.Second / routing.DirectRetryInterval)))
	g.Expect(route.Clear()).To(BeTrue())
	g.Expect(route.Clear()).To(BeFalse())
}
