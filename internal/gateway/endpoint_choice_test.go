package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// Guards against reads that take the primary's slots although a replica is about as
// free, and against reads that wait long at a replica although the primary is free.
func TestReadsPreferReplicas(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	gr := newGroup("g", &pool{permittedUntil: farFuture})
	position := logpos.Position{Term: 1, Offset: 1}
	gr.setPrimary(1, "e1", position)
	gr.recordPrimaryPosition(now, position)
	for _, id := range []string{"e1", "e2"} {
		gr.targets[id] = newTarget(gr, Endpoint{ID: id, Slots: 2})
		gr.targets[id].lag.Observe(now, position, gr.staleness)
	}
	gr.health.SetEndpoints(now, []string{"e1", "e2"})
	db := Database{Consistency: ConsistencyBounded, MaxStaleness: time.Second}
	chosen := func() string { return gr.choose(now, newRequirement(db, logpos.Position{}, now, false)).target.ID }
	gr.targets["e2"].serviceTime = gr.targets["e1"].serviceTime + primaryPenalty/2
	g.Expect(chosen()).To(Equal("e2"))
	gr.targets["e2"].serviceTime = gr.targets["e1"].serviceTime + 2*primaryPenalty
	g.Expect(chosen()).To(Equal("e1"))
}

// Guards against reads that pile up at the primary while the replicas lag by a little
// less than the reads allow. With both replicas of a group 2.4 s behind and reads that
// may be 2.5 s old, a peak of reads would exceed the primary's slots (seen on
// svfb-trestle scale-1).
func TestReplicaLaggingJustBelowBoundServesReads(t *testing.T) {
	g := NewWithT(t)
	const lag, bound, spacing = 2440 * time.Millisecond, 2500 * time.Millisecond, 20 * time.Millisecond
	now := time.Now()
	gr := newGroup("g", &pool{permittedUntil: farFuture})
	at := func(n int) logpos.Position { return logpos.Position{Term: 1, Offset: uint64(n)} }
	gr.setPrimary(1, "e1", at(0))
	applied := logpos.Position{}
	for n := range 150 {
		taken := now.Add(time.Duration(n-150) * spacing)
		gr.recordPrimaryPosition(taken, at(n))
		if now.Sub(taken) >= lag {
			applied = at(n)
		}
	}
	for _, id := range []string{"e1", "e2"} {
		gr.targets[id] = newTarget(gr, Endpoint{ID: id, Slots: 3})
	}
	gr.targets["e1"].serviceTime = time.Second
	gr.targets["e2"].lag.Observe(now, applied, gr.staleness)
	gr.health.SetEndpoints(now, []string{"e1", "e2"})
	db := Database{Consistency: ConsistencySession, MaxStaleness: bound}
	c := gr.choose(now, newRequirement(db, logpos.Position{}, now, false))
	g.Expect(c.target.ID).To(Equal("e2"))
	g.Expect(applied.Covers(c.after)).To(BeTrue())
}

// Guards against reads at a replica by positions of a primary that this host may not use any
// more, and against the loss of those for which it asked in time.
func TestPositionCountsOnlyIfPrimaryWasPermitted(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	permittedUntil := now.Add(-time.Second)
	gr := newGroup("g", &pool{permittedUntil: func() time.Time { return permittedUntil }})
	position := logpos.Position{Term: 1, Offset: 1}
	gr.setPrimary(1, "e1", position)
	for _, id := range []string{"e1", "e2"} {
		gr.targets[id] = newTarget(gr, Endpoint{ID: id, Slots: 2})
		gr.targets[id].lag.Observe(now, position, gr.staleness)
	}
	gr.health.SetEndpoints(now, []string{"e1", "e2"})
	db := Database{Consistency: ConsistencyBounded, MaxStaleness: 1500 * time.Millisecond}
	chosen := func() *target { return gr.choose(now, newRequirement(db, logpos.Position{}, now, false)).target }
	gr.pool.applyStatus(gr.targets["e1"], Status{Primary: true, Term: 1, Received: position}, permittedUntil)
	g.Expect(chosen()).To(BeNil())
	gr.pool.applyStatus(gr.targets["e1"], Status{Primary: true, Term: 1, Received: position}, permittedUntil.Add(-time.Millisecond))
	g.Expect(chosen()).To(Equal(gr.targets["e2"]))
	_, before := gr.staleness.NewestSample()
	permittedUntil = now.Add(time.Second)
	gr.setFence(FenceState{Term: 1, Version: 9}, now)
	gr.recordPrimaryPosition(now, position)
	_, after := gr.staleness.NewestSample()
	g.Expect(after).To(Equal(before), "the primary may have been replaced since it was fenced")
}
