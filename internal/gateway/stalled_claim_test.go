package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a group that stays without service because the holder of a claim ended
// before withdrawing it (seen with soak seed 402). The claim fences every host while
// the primary still answers, so another host must take over even though the primary is
// alive.
func TestStalledClaimOnLivePrimaryIsTakenOver(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	const fence = 3
	f.store.putRow(gateway.TableState, "claim/g", map[string]any{"holder": "gone", "incarnation": 7, "fence": fence, "term": 1})
	accepted := func(host string) func() bool {
		return func() bool {
			r := f.caller(host, "strict").do(write("a", host))
			return r.OK()
		}
	}
	g.Eventually(accepted("h1"), 2*time.Second, time.Millisecond).Should(BeFalse())
	for _, host := range []string{"h1", "h2", "h3"} {
		g.Eventually(accepted(host), 6*time.Second, 10*time.Millisecond).Should(BeTrue(), host)
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.replacedPrimaryWrites).To(BeZero())
	g.Expect(f.group.promotions).To(HaveLen(1))
	g.Expect(f.group.promotions[0]).To(HavePrefix("h"))
	g.Expect(f.group.promotions[0]).To(ContainSubstring(" 4 "))
}
