package gateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// unreachablePromoter is a promotion service that a host cannot reach.
type unreachablePromoter struct{}

// Reachable implements gateway.Promoter.
func (unreachablePromoter) Reachable(context.Context) error { return errors.New("no answer") }

// Promote implements gateway.Promoter.
func (unreachablePromoter) Promote(context.Context, gateway.Promotion) error {
	return gateway.ErrPromotionRefused
}

// Guards against a host that takes over a stalled claim, aborts and withdraws it although the
// former holder has ordered a promotion: the hosts that have not seen the new primary then use
// the replaced one again (issue 31, STALE).
func TestAbortedTakeoverDoesNotReturnToReplacedPrimary(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2")
	f.configure = func(cfg *gateway.Config) { cfg.Promoter = unreachablePromoter{} }
	f.start(t, "h3")
	accepted := func(host string) func() bool {
		return func() bool {
			r := f.caller(host, "strict").do(write("a", nextID()))
			return r.OK()
		}
	}
	g.Eventually(accepted("h3"), 4*time.Second, 10*time.Millisecond).Should(BeTrue())
	for _, host := range []string{"h1", "h2"} {
		f.group.setCut(host, "e1", true)
	}
	f.group.setCut("h3", "e2", true)
	// The promotion takes effect once the claim has been taken over.
	f.store.afterWrite = func(key string, value []byte) {
		var claim struct{ Holder string }
		if key == "claim/g" && json.Unmarshal(value, &claim) == nil && claim.Holder != "gone" {
			_ = f.group.Promote(context.Background(), gateway.Promotion{Holder: "gone", Fence: 3, Endpoint: "e2"})
		}
	}
	f.store.putRow(gateway.TableState, "claim/g", map[string]any{"holder": "gone", "incarnation": 7, "fence": 3, "term": 1})
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		accepted("h3")()
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.promotions).ToNot(BeEmpty())
	g.Expect(f.group.replacedPrimaryWrites).To(BeZero())
}
