package gateway_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// endingSuccessors is a promotion service whose first order finds that the successors have
// ended, while the old primary can be reached again.
type endingSuccessors struct {
	*fakeGroup
	hosts []string
}

// Promote implements gateway.Promoter.
func (p endingSuccessors) Promote(ctx context.Context, order gateway.Promotion) error {
	for _, host := range p.hosts {
		p.setCut(host, "e1", false)
	}
	for _, id := range []string{"e2", "e3"} {
		p.stop(id)
	}
	return p.fakeGroup.Promote(ctx, order)
}

// Guards against a group that stays without a primary because its term has ended and the old
// primary is the only endpoint left.
func TestOldPrimaryLeadsNextTermIfAlone(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	hosts := []string{"h1", "h2", "h3"}
	f := startFleet(t, manyConnections)
	f.configure = func(cfg *gateway.Config) { cfg.Promoter = endingSuccessors{f.group, hosts} }
	accepted := func(host string) func() bool {
		return func() bool {
			r := f.caller(host, "strict").do(write("a", nextID()))
			return r.OK()
		}
	}
	for _, host := range hosts {
		f.start(t, host)
	}
	for _, host := range hosts {
		g.Eventually(accepted(host), 8*time.Second, 10*time.Millisecond).Should(BeTrue(), host)
	}
	for _, host := range hosts {
		f.group.setCut(host, "e1", true)
	}
	g.Eventually(accepted("h1"), 4*time.Second, 10*time.Millisecond).Should(BeFalse())
	for _, host := range hosts {
		g.Eventually(accepted(host), 12*time.Second, 10*time.Millisecond).Should(BeTrue(), host)
	}
	g.Expect(f.group.primaryID()).To(Equal("e1"))
}

// slowDialer delays each connection.
type slowDialer struct{ gateway.Dialer }

// Dial implements gateway.Dialer.
func (d slowDialer) Dial(ctx context.Context, e gateway.Endpoint, team string) (gateway.EndpointConn, error) {
	time.Sleep(200 * time.Millisecond)
	return d.Dialer.Dial(ctx, e, team)
}

// Guards against a claim on a term that no endpoint has told yet, which ended all terms.
func TestClaimWaitsForTermOfEndpoints(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	hosts := []string{"h1", "h2", "h3"}
	f := startFleet(t, manyConnections)
	f.group.stop("e1")
	for id := range f.group.endpoints {
		f.store.removeRow(gateway.TableEndpoints, id)
	}
	f.configure = func(cfg *gateway.Config) { cfg.Dialer = slowDialer{cfg.Dialer} }
	for _, host := range hosts {
		f.start(t, host)
	}
	// The hosts look for a primary for longer than succession.StartupLostTimeout.
	time.Sleep(4 * time.Second)
	for id := range f.group.endpoints {
		f.listEndpoint(id, func(*gateway.Endpoint) {})
	}
	for _, host := range hosts {
		g.Eventually(func() bool {
			r := f.caller(host, "strict").do(write("a", nextID()))
			return r.OK()
		}, 10*time.Second, 10*time.Millisecond).Should(BeTrue(), host)
	}
}
