package gateway_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against a session whose prepared statements use up the memory of the host: 300 of
// them with 0.9 MB each took 273 MB.
func TestPreparedStatementsOfAllSessionsAreLimited(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f := startFleet(t, manyConnections, "h1")
	prepare := func(c *fakeCaller, name string) gateway.Code {
		return c.do(session.Statement{ID: nextID(), Op: session.OpPrepare, Name: name, Args: "READ " + strings.Repeat("x", 900_000)}).Code
	}
	first, second := f.caller("h1", "own"), f.caller("h1", "own")
	accepted := 0
	for n := range 100 {
		if prepare(first, fmt.Sprint("s", n)) == gateway.CodeNone {
			accepted++
		}
	}
	g.Expect(accepted).To(And(BeNumerically(">", 30), BeNumerically("<", 40)))
	g.Expect(prepare(second, "s")).To(Equal(gateway.CodeBusy))
	expectSuccess(g, second, read("a"))
	expectSuccess(g, first, session.Statement{ID: nextID(), Op: session.OpDeallocate, Name: "s0"})
	g.Expect(prepare(second, "s")).To(Equal(gateway.CodeNone))
	close(first.statements)
	g.Eventually(first.ended, time.Second).Should(BeClosed())
	g.Expect(prepare(second, "t")).To(Equal(gateway.CodeNone), "the ended session counts no longer")
}
