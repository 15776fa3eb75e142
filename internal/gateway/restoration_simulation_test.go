//go:build simulatedtime

package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/rows"
)

// Guards against a fleet that waits, at its first start, for claims that a store in a later era
// cannot have lost.
func TestFirstStartInLaterEraInSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newFleet(manyConnections)
		f.latency, f.store.latency = time.Millisecond, 15*time.Millisecond
		f.store.restore(f.store.snapshot())
		g.Expect(rows.Era(f.store.version)).To(Equal(uint64(1)))
		began := time.Now()
		f.startAll(t, "h1", "h2", "h3")
		// The answers of hosts that have restarted after a restoration count after 5 s.
		g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
		f.end()
	})
}
