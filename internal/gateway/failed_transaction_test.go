package gateway_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a COMMIT that stores the first part of a transaction of which a statement
// failed at the proxy: the endpoint does not know of the failure.
func TestTransactionThatFailedAtTheProxyIsRolledBack(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1")
	for _, failing := range []session.Statement{
		{ID: nextID(), Op: session.OpExecute, Name: "unknown", Args: "b"},
		{ID: nextID(), Op: session.OpUnknown, Text: "WRITE"},
	} {
		c := f.caller("h1", "strict")
		expectSuccess(g, c, op(session.OpBegin), write("a", "1"))
		failed := c.do(failing)
		g.Expect(failed.State).To(Equal(gateway.TxFailed))
		refused := c.do(write("c", "1"))
		g.Expect(refused.Code).To(Equal(gateway.CodeMalformed))
		ended := c.do(op(session.OpCommit))
		g.Expect(ended.Code).To(Equal(gateway.CodeAborted))
		g.Expect(ended.State).To(Equal(gateway.TxIdle))
		expectSuccess(g, c, read("a"))
	}
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	g.Expect(f.group.endpoints["e1"].log).To(BeEmpty())
}
