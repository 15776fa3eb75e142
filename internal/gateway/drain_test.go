package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// grace is the grace period of the hosts that stop in these tests, as at the users' sites.
const grace = 6 * time.Second

// startFleetToStop starts a fleet whose host h1 has this grace period.
func startFleetToStop(t *testing.T) *fakeFleet {
	t.Helper()
	f := startFleet(t, manyConnections, "h2")
	f.configure = func(cfg *gateway.Config) { cfg.Grace = grace }
	f.start(t, "h1")
	writeUntilConfirmed(t, f, "h1", 5*time.Second)
	return f
}

// Guards against a stop that rolls back an open transaction before half of the grace period
// has passed, that lets one go on for longer, and that accepts sessions only to end them.
func TestTransactionsHaveHalfOfTheGracePeriod(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleetToStop(t)
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

// Guards against a stop that cuts off what other hosts relay through the host: the outcome of
// a write in flight would be unknown.
func TestStopWaitsForRelayedTransactions(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleetToStop(t)
	relay := func(st session.Statement, inTransaction bool) gateway.Reply {
		r, err := f.hosts["h1"].Relay(t.Context(), gateway.RelayRequest{
			TransactionID: 7, Group: "g", Endpoint: "e1", Request: gateway.Request{Statement: st},
			PrimaryOnly: true, InTransaction: inTransaction, Timeout: time.Second,
		})
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	begun := relay(op(session.OpBegin), false)
	g.Expect(begun.OK()).To(BeTrue(), begun.Detail)
	drained := make(chan struct{})
	go func() {
		f.hosts["h1"].Drain()
		close(drained)
	}()
	g.Consistently(drained, 2700*time.Millisecond).ShouldNot(BeClosed())
	st := write("a", "1")
	written := relay(st, true)
	g.Expect(written.OK()).To(BeTrue(), written.Detail)
	committed := relay(op(session.OpCommit), true)
	g.Expect(committed.OK()).To(BeTrue(), committed.Detail)
	g.Eventually(drained, time.Second).Should(BeClosed())
	g.Expect(f.group.hasWrite("e1", st.ID)).To(BeTrue())
}
