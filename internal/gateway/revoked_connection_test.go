package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a COMMIT that is reported as in doubt although it was certainly not sent: a fence
// that has been withdrawn since closed the transaction's connection.
func TestCommitOnRevokedConnectionIsAborted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	c := f.caller("h1", "strict")
	expectSuccess(g, c, op(session.OpBegin), write("a", "1"))
	for version := range uint64(2) {
		fence := gateway.FenceState{Term: 1, Version: 1<<30 + version, Withdrawn: version == 1}
		_, err := f.hosts["h1"].Fence(gateway.FenceRequest{Group: "g", Fence: fence})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(c.do(op(session.OpCommit)).Code).To(Equal(gateway.CodeAborted))
}

// Guards against a COMMIT that is sent to a primary which does not answer, so that its outcome is in
// doubt although the transaction could be rolled back for certain (issue 42).
func TestCommitToSilentPrimaryIsAborted(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1")
	writeUntilConfirmed(t, f, "h1", time.Second)
	c := f.caller("h1", "strict")
	expectSuccess(g, c, op(session.OpBegin), write("a", "1"))
	f.group.setCut("h1", "e1", true)
	g.Expect(c.do(op(session.OpCommit)).Code).To(Equal(gateway.CodeAborted))
}
