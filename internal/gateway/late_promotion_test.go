package gateway_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against two primaries in use at once after a promotion that takes effect only when
// another endpoint has been promoted: no claim has made the hosts stop using that one
// (issue 31, STALE).
func TestLatePromotionDoesNotGiveTwoPrimaries(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.Draining = true })
	g.Eventually(f.group.primaryID, 4*time.Second, 10*time.Millisecond).ShouldNot(BeElementOf("e1", noPrimary))
	replaced := f.group.primaryID()
	late := map[string]string{"e2": "e3", "e3": "e2"}[replaced]
	servedBy := func(host string) string {
		r := f.caller(host, "strict").do(session.Statement{ID: nextID(), Op: session.OpRead, Text: "READ a"})
		if !r.OK() {
			return noPrimary
		}
		return r.Signature
	}
	for _, host := range []string{"h1", "h2", "h3"} {
		g.Eventually(func() string { return servedBy(host) }, 4*time.Second, 10*time.Millisecond).Should(Equal(replaced), host)
	}
	// The endpoint is promoted without a claim, and h3 does not see it lead.
	f.group.setCut("h3", late, true)
	g.Expect(f.group.Promote(t.Context(), gateway.Promotion{Holder: "late", Fence: 1, Endpoint: late})).To(Succeed())
	f.listEndpoint(late, func(*gateway.Endpoint) {})
	served := make(chan string, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(served)
		for ctx.Err() == nil {
			if r := f.caller("h1", "strict").do(write("a", nextID())); r.OK() && r.Signature == late {
				served <- late
				return
			}
		}
	}()
	g.Eventually(served, 8*time.Second).Should(Receive())
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		g.Expect(servedBy("h3")).ToNot(Equal(replaced))
	}
	for _, host := range []string{"h1", "h2", "h3"} {
		g.Eventually(func() string { return servedBy(host) }, 4*time.Second, 10*time.Millisecond).Should(Equal(late), host)
	}
}
