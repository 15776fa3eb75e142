package routing_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/routing"
)

// Guards against a detour that loads one host only, and against one that is given
// up because a refresh found nobody.
func TestDetourTakesTheHostsInTurn(t *testing.T) {
	g := NewWithT(t)
	var d routing.RelayRoute
	g.Expect(d.Active()).To(BeFalse())
	d.SetRelays(at(0), []string{"a", "b"})
	counts := map[string]int{}
	for range 10 {
		counts[d.NextRelay()]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 5, "b": 5}))
	d.SetRelays(at(100), nil)
	g.Expect(d.Active()).To(BeTrue())
}

// Guards against a host that stays on a detour although the direct way has healed,
// and against dials on every tick.
func TestDetourTriesTheDirectWayNowAndThen(t *testing.T) {
	g := NewWithT(t)
	var d routing.RelayRoute
	g.Expect(d.TryDirect(at(0))).To(BeFalse(), "the direct way is in use")
	d.SetRelays(at(0), []string{"a"})
	tried := 0
	for ms := 0; ms <= 2000; ms += 50 {
		if d.TryDirect(at(ms)) {
			tried++
		}
	}
	g.Expect(tried).To(Equal(int(2 * time.Second / routing.DirectRetry)))
	g.Expect(d.Clear()).To(BeTrue())
	g.Expect(d.Clear()).To(BeFalse())
}
