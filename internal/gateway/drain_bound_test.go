package gateway_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a primary that drains and gets new work after the drain bound, because the
// hosts that reach it are no majority and cannot replace it (svfb-trestle, a release while
// most hosts are cut off: 62 to 164 such requests a day).
func TestDrainedPrimaryGetsNoNewWork(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const bound = 2500 * time.Millisecond
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	f.configure = func(cfg *gateway.Config) { cfg.DrainBound = bound }
	f.start(t, "h1")
	f.awaitVoters(t, 3)
	writeUntilConfirmed(t, f, "h1", 8*time.Second)
	f.mu.Lock()
	f.partition["h2"], f.partition["h3"] = 1, 1
	f.mu.Unlock()
	f.store.setUnavailable("h2", true)
	f.store.setUnavailable("h3", true)
	open := f.caller("h1", "strict")
	open.do(op(session.OpBegin))
	open.do(write("b", "1"))
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.Draining = true })
	drains := time.Now()
	writeUntilConfirmed(t, f, "h1", time.Second)
	time.Sleep(time.Until(drains.Add(bound)))
	f.group.mu.Lock()
	before := len(f.group.endpoints["e1"].log)
	f.group.mu.Unlock()
	for range 3 {
		r := f.caller("h1", "strict").do(write("a", "late"))
		g.Expect(r.OK()).To(BeFalse())
	}
	f.group.mu.Lock()
	g.Expect(f.group.endpoints["e1"].log).To(HaveLen(before))
	f.group.mu.Unlock()
	commit := open.do(op(session.OpCommit))
	g.Expect(commit.OK()).To(BeTrue(), "an open transaction may end")
}
