//go:build simulatedtime

package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a session that is ended between two statements that follow one another: the
// second one crosses the end of the connection and gets no answer (seen on
// svfb-trestle-large trouble-2). In real time the test's own caller may rest for longer than
// the pause after which a stopping host ends a session.
func TestStopEndsSessionsOnlyInPausesInSimulation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startFleetToStop(t)
		active, resting := f.caller("h1", "strict"), f.caller("h1", "strict")
		began := time.Now()
		go f.hosts["h1"].Drain()
		for time.Since(began) < 2700*time.Millisecond {
			r := active.do(read("a"))
			g.Expect(r.OK()).To(BeTrue(), "after %v", time.Since(began))
			time.Sleep(5 * time.Millisecond)
		}
		g.Expect(resting.ended).To(BeClosed())
		g.Eventually(active.ended, 300*time.Millisecond).Should(BeClosed())
		f.end()
	})
}
