package gateway_test

import (
	"context"
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

// latePromoter accepts the first order without performing it.
type latePromoter struct {
	*fakeGroup
	ordered func(gateway.Promotion)
}

// Promote implements gateway.Promoter.
func (p latePromoter) Promote(ctx context.Context, order gateway.Promotion) error {
	p.mu.Lock()
	first := len(p.promotions) == 0
	if first {
		p.promotions = append(p.promotions, order.Holder)
	}
	p.mu.Unlock()
	if first {
		p.ordered(order)
		return nil
	}
	return p.fakeGroup.Promote(ctx, order)
}

// Guards against a host that takes over a stalled claim, aborts and withdraws it although the
// former holder has ordered a promotion: the hosts that have not seen the new primary then use
// the replaced one again (issue 31, STALE).
func TestAbortedTakeoverDoesNotReturnToReplacedPrimary(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections)
	orders := make(chan gateway.Promotion, 1)
	// The host that orders the promotion is then cut off. The order takes effect once another
	// host has taken the claim over.
	promoter := latePromoter{f.group, func(order gateway.Promotion) {
		f.mu.Lock()
		f.partition[order.Holder] = 1
		f.mu.Unlock()
		f.store.setUnavailable(order.Holder, true)
		orders <- order
	}}
	f.store.onClaim(func() {
		for _, host := range []string{"h1", "h2"} {
			f.group.setCut(host, "e1", true)
		}
		select {
		case order := <-orders:
			f.group.setCut("h3", order.Endpoint, true)
			_ = f.group.Promote(context.Background(), order)
		default:
		}
	})
	// The drain bound is longer than the test, so that only the claim keeps hosts from e1.
	const drainBound = time.Minute
	f.configure = func(cfg *gateway.Config) { cfg.Promoter, cfg.DrainBound = promoter, drainBound }
	f.start(t, "h1")
	f.start(t, "h2")
	f.configure = func(cfg *gateway.Config) { cfg.Promoter, cfg.DrainBound = unreachablePromoter{}, drainBound }
	f.start(t, "h3")
	accepted := func(host string) bool {
		r := f.caller(host, "strict").do(write("a", nextID()))
		return r.OK()
	}
	for _, host := range []string{"h1", "h2", "h3"} {
		g.Eventually(func() bool { return accepted(host) }, 8*time.Second, 10*time.Millisecond).Should(BeTrue(), host)
	}
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.Draining = true })
	// A write of h3 follows each change that could let it use the replaced primary.
	tookEffect := func() bool {
		accepted("h3")
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		return len(f.group.promotions) > 1
	}
	g.Eventually(tookEffect, 20*time.Second, time.Millisecond).Should(BeTrue())
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		accepted("h3")
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.replacedPrimaryWrites).To(BeZero())
}
