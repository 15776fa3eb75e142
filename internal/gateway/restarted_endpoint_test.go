package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against reads from an endpoint that led, has started again without its log, and is taken for
// the primary because of its ID (issue 42, found in the review).
func TestEndpointThatRestartedWithoutItsLogIsNotThePrimary(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	written := f.caller("h1", "strict")
	expectSuccess(g, written, write("a", "1"))
	read := func() gateway.Reply {
		return f.caller("h1", "strict").do(session.Statement{ID: nextID(), Op: session.OpRead, Text: "READ a"})
	}
	before := read()
	g.Expect(before.OK()).To(BeTrue())
	f.group.stop("e1")
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.StartedAtMs = 1 })
	time.Sleep(100 * time.Millisecond) // The hosts learn of the new process before it serves.
	f.group.mu.Lock()
	e := f.group.endpoints["e1"]
	e.log, e.term, e.primary, e.notReplicating, e.down = nil, 0, false, true, false
	f.group.mu.Unlock()
	served := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r := read(); r.OK() {
			served++
			g.Expect(r.Rows).To(Equal(before.Rows))
		}
	}
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(f.group.primaryID()).NotTo(Equal("e1"))
}
