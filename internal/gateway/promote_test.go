package gateway_test

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a host that fences the primary although it does not reach the platform and
// so cannot have it replaced.
func TestHostThatCannotPromoteDoesNotClaim(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1", "h2", "h3")
	writeUntilConfirmed(t, f, "h1", time.Second)
	setError := func(err error) {
		f.group.mu.Lock()
		defer f.group.mu.Unlock()
		f.group.promoterError = err
	}
	setError(errors.New("no answer"))
	f.listEndpoint("e1", func(e *gateway.Endpoint) { e.Draining = true })
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r := f.caller("h2", "strict").do(write("a", nextID()))
		g.Expect(r.OK()).To(BeTrue())
	}
	setError(nil)
	g.Eventually(f.group.primaryID, 4*time.Second, 20*time.Millisecond).ShouldNot(BeElementOf("e1", noPrimary))
}
