package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against an answer without its rows that passes for a whole one, against a transaction
// that is committed although one of its statements was refused for want of memory, and against
// an endpoint that counts as failed because of it.
func TestAnswerThatCannotBeKeptIsRefused(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1")
	c := f.caller("h1", "strict")
	reply := c.do(read(droppedItem))
	g.Expect(reply.Code).To(Equal(gateway.CodeBusy))
	g.Expect(reply.State).To(Equal(gateway.TxIdle))
	expectSuccess(g, c, op(session.OpBegin), write("a", "1"))
	reply = c.do(read(droppedItem))
	g.Expect(reply.Code).To(Equal(gateway.CodeAborted))
	g.Expect(reply.State).To(Equal(gateway.TxFailed))
	g.Expect(c.do(op(session.OpCommit)).Code).To(Equal(gateway.CodeAborted))
	expectSuccess(g, c, read("a"))
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.endpoints["e1"].log).To(BeEmpty())
}

// Guards against the same faults if the statement is relayed for another host.
func TestRelayedAnswerThatCannotBeKeptIsRefused(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1")
	relay := func(inTransaction bool, st session.Statement) gateway.Reply {
		reply, err := f.hosts["h1"].Relay(t.Context(), gateway.RelayRequest{
			TransactionID: 7, Group: "g", Endpoint: "e1", Timeout: 5 * time.Second, InTransaction: inTransaction,
			Request: gateway.Request{Statement: st},
		})
		g.Expect(err).NotTo(HaveOccurred())
		return reply
	}
	reply := relay(false, read(droppedItem))
	g.Expect(reply.Code).To(Equal(gateway.CodeBusy))
	g.Expect(reply.State).To(Equal(gateway.TxIdle))
	g.Expect(relay(false, op(session.OpBegin)).State).To(Equal(gateway.TxOpen))
	g.Expect(relay(true, write("a", "1")).Code).To(Equal(gateway.CodeNone))
	reply = relay(true, read(droppedItem))
	g.Expect(reply.Code).To(Equal(gateway.CodeAborted))
	g.Expect(reply.State).To(Equal(gateway.TxFailed))
	g.Expect(relay(true, op(session.OpCommit)).Code).To(Equal(gateway.CodeAborted))
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.endpoints["e1"].log).To(BeEmpty())
}
