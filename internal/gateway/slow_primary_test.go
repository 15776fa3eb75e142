package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
)

// Guards against a primary that answers slowly, so that it is not replaced, and gets no writes, as its
// answer before a statement is not waited for.
func TestSlowPrimaryServesWrites(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	f.group.mu.Lock()
	f.group.latency = 300 * time.Millisecond
	f.group.mu.Unlock()
	written := func() bool {
		r := f.caller("h1", "strict").do(write("b", nextID()))
		return r.OK()
	}
	committed := func() bool {
		c := f.caller("h1", "strict")
		for _, st := range []session.Statement{op(session.OpBegin), write("b", nextID()), op(session.OpCommit)} {
			if r := c.do(st); !r.OK() {
				return false
			}
		}
		return true
	}
	g.Eventually(written, 4*time.Second).Should(BeTrue())
	g.Eventually(committed, 4*time.Second).Should(BeTrue())
	g.Expect(f.group.primaryID()).To(Equal("e1"))
}
