package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a stop that rolls back an open transaction before half of the grace period
// has passed, that lets one go on for longer, and that accepts sessions only to end them.
func TestTransactionsHaveHalfOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const grace = 6 * time.Second
	f := startFleet(t, manyConnections, "h2")
	f.configure = func(cfg *gateway.Config) { cfg.Grace = grace }
	f.start(t, "h1")
	writeUntilConfirmed(t, f, "h1", 5*time.Second)
	ends, stays := f.caller("h1", "strict"), f.caller("h1", "strict")
	for _, c := range []*fakeCaller{ends, stays} {
		g.Expect(c.do(op(session.OpBegin)).Code).To(Equal(gateway.CodeNone))
		r := c.do(write("a", "1"))
		g.Expect(r.OK()).To(BeTrue())
	}
	began := time.Now()
	drained := make(chan struct{})
	go func() {
		f.hosts["h1"].Drain()
		close(drained)
	}()
	time.Sleep(2650 * time.Millisecond)
	g.Expect(f.caller("h1", "strict").do(read("a")).Code).To(Equal(gateway.CodeBusy), "a session that begins while the host closes them")
	r := ends.do(op(session.OpCommit))
	g.Expect(r.OK()).To(BeTrue(), r.Detail)
	g.Eventually(stays.ended, time.Second).Should(BeClosed())
	g.Expect(time.Since(began)).To(BeNumerically(">=", grace/2))
	g.Eventually(drained, time.Second).Should(BeClosed())
	g.Expect(f.group.openTransactions()).To(BeZero())
}
