package gateway_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a store that comes back from a copy without the newest claim: a host that
// starts then takes the replaced primary, which still answers as one, for the only one
// (issue 31, STALE). The fencing tokens must not be given out again either.
func TestRestoredStoreDoesNotBringBackReplacedPrimary(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	hosts := []string{"h1", "h2", "h3"}
	f := startFleet(t, manyConnections, hosts...)
	writeUntilConfirmed(t, f, "h1", time.Second)
	copied := f.store.snapshot()
	servedBy := func(host string) string {
		r := f.caller(host, "strict").do(session.Statement{ID: nextID(), Op: session.OpRead, Text: "READ a"})
		if !r.OK() {
			return noPrimary
		}
		return r.Signature
	}
	replace := func(old string) string {
		f.listEndpoint(old, func(e *gateway.Endpoint) { e.Draining = true })
		var successor string
		g.Eventually(func() string { successor = f.group.primaryID(); return successor }, 8*time.Second, 10*time.Millisecond).ShouldNot(BeElementOf(old, noPrimary))
		for _, host := range []string{"h1", "h2"} {
			g.Eventually(func() string { return servedBy(host) }, 8*time.Second, 10*time.Millisecond).Should(Equal(successor), host)
		}
		return successor
	}
	successor := replace("e1")
	setLeads := func(leads bool) {
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		f.group.endpoints["e1"].primary, f.group.endpoints["e1"].term = leads, 1
	}
	setLeads(true)
	f.group.setCut("h3", successor, true)
	f.mu.Lock()
	f.partition["h3"] = 1
	f.mu.Unlock()
	f.store.restore(copied)
	f.start(t, "h3")
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		g.Expect(servedBy("h3")).ToNot(Equal("e1"))
	}
	g.Expect(servedBy("h1")).To(Equal(successor))
	f.group.setCut("h3", successor, false)
	f.mu.Lock()
	f.partition["h3"] = 0
	f.mu.Unlock()
	g.Eventually(func() string { return servedBy("h3") }, 8*time.Second, 10*time.Millisecond).Should(Equal(successor))
	setLeads(false)
	replace(successor)
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	last := uint64(0)
	for _, promotion := range f.group.promotions {
		fence, err := strconv.ParseUint(strings.Fields(promotion)[1], 10, 64)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(fence).To(BeNumerically(">", last), "%v", f.group.promotions)
		last = fence
	}
}
