package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Guards against an endpoint that fails statements but keeps its share of the reads
// because it reports itself as ready, and against one that is not used again after it
// has recovered (seen on svfb-trestle-grown, srv_grey).
func TestFailingEndpointGetsFewerReads(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	p := &pool{
		metrics: metrics.NewRegistry(), onFailure: func(*target) {},
		permittedUntil: farFuture,
	}
	gr := newGroup("g", p)
	position := logpos.Position{Term: 1, Offset: 1}
	gr.setPrimary(1, "e1", position)
	for _, id := range []string{"e1", "e2", "e3"} {
		gr.targets[id] = newTarget(gr, Endpoint{ID: id})
	}
	gr.health.SetEndpoints(boottime.Now(), []string{"e1", "e2", "e3"})
	fails := true
	// readFor reads for the given time and returns the share of reads that went to e2.
	readFor := func(d time.Duration) float64 {
		readsOnE2, total := 0, 0
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
			now := boottime.Now()
			gr.mu.Lock()
			gr.recordPrimaryPosition(now, position)
			for _, each := range gr.targets {
				each.lag.Observe(now, position, gr.staleness)
			}
			req := newRequirement(Database{Consistency: ConsistencyBounded, MaxStaleness: time.Second}, logpos.Position{}, now, false)
			// With equal service times, only the health decides between the replicas.
			for _, each := range gr.targets {
				each.serviceTime = initialServiceTime
			}
			gr.targets["e1"].serviceTime = 3 * initialServiceTime
			chosen := gr.choose(now, req).target
			gr.mu.Unlock()
			reply := Reply{Position: position}
			total++
			if chosen.ID == "e2" {
				readsOnE2++
				if fails {
					reply.Code = CodeFailed
				}
			}
			c := &conn{target: chosen}
			p.statementEnded(c, p.statementStarted(c, false), &reply, nil, logpos.Position{})
		}
		return float64(readsOnE2) / float64(total)
	}
	g.Expect(readFor(500 * time.Millisecond)).To(BeNumerically(">", 0.2))
	readFor(3500 * time.Millisecond)
	g.Expect(readFor(time.Second)).To(BeNumerically("<", 0.1))
	fails = false
	readFor(10 * time.Second)
	g.Expect(readFor(time.Second)).To(BeNumerically(">", 0.2))
}
