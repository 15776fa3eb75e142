package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against reads that take the primary's slots while a replica is about as free,
// and against reads that wait at a replica for long while the primary is free.
func TestReadsLeaveThePrimaryToOthers(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	gr := newGroup("g", &pool{permitted: func(time.Time) bool { return true }})
	position := logpos.Position{Term: 1, Offset: 1}
	gr.lead(1, "e1", position)
	gr.sample(now, position)
	for _, id := range []string{"e1", "e2"} {
		gr.targets[id] = newTarget(gr, Endpoint{ID: id, Slots: 2})
		gr.targets[id].lag.Observe(now, position, gr.staleness)
	}
	gr.health.SetEndpoints(now, []string{"e1", "e2"})
	db := Database{Consistency: ConsistencyBounded, MaxStaleness: time.Second}
	chosen := func() string { return gr.choose(now, newNeed(db, logpos.Position{}, now, false)).target.ID }
	gr.targets["e2"].latency = gr.targets["e1"].latency + primaryReserve/2
	g.Expect(chosen()).To(Equal("e2"))
	gr.targets["e2"].latency = gr.targets["e1"].latency + 2*primaryReserve
	g.Expect(chosen()).To(Equal("e1"))
}
