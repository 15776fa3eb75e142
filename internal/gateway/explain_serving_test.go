package gateway_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/quota"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// Guards against an explanation that reads the state of a serving host without its locks (shown by
// the race detector), blocks the host, or does not see the state that the host serves by.
func TestExplainWhileServing(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	f, _ := startLimitedFleet(t, quota.Limit{Rate: 1000, Burst: 1000}, "h1")
	caller := f.callerWithKey("h1", "keyed", "r1")
	g.Eventually(func() gateway.Code { return caller.do(readX).Code }, "8s", "20ms").Should(Equal(gateway.CodeNone))
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 200 {
			f.hosts["h1"].Explain(gateway.ExplainQuery{Database: "keyed", Team: "red"})
		}
	})
	for range 50 {
		g.Expect(caller.do(readX).Code).To(Equal(gateway.CodeNone))
	}
	wg.Wait()
	x := f.hosts["h1"].Explain(gateway.ExplainQuery{Database: "keyed", Team: "red"})
	g.Expect(x.Keys.Required && x.Keys.Accepted && x.Team.Limited).To(BeTrue())
	g.Expect(x.Team.Lenders).To(HaveLen(1))
	g.Expect(x.Endpoints).To(HaveLen(3))
	g.Expect(x.Database.Group).To(Equal("g"))
	// The token may have to be asked for, and the endpoint reached over a new connection.
	g.Expect(x.Outcome.Result).To(Equal(gateway.ResultSent), "%+v", x.Outcome)
}
