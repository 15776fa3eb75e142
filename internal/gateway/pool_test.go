package gateway

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// turnOf returns work with a deadline of 500 ms and no objective.
func turnOf(priority int, arrived time.Time) admission.QueuedRequest {
	return Database{Timeout: 500 * time.Millisecond, Priority: priority}.turn(arrived)
}

// Guards against work that waits for a full primary until its deadline and is
// refused only then: 20 statements of 100 ms wait for 2 connections.
func TestWorkThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := &pool{metrics: metrics.NewRegistry()}
	tg := newTarget(newGroup("g", p), Endpoint{ID: "e"})
	tg.opening = tg.limit
	tg.latency = 100 * time.Millisecond
	for range 20 {
		tg.waiting.push(turnOf(1, boottime.Now()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := p.checkout(ctx, tg, nil, turnOf(1, boottime.Now()))
	g.Expect(err).To(MatchError(errNoConnection))
	g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	g.Expect(tg.waiting.len()).To(Equal(20))
}

// Guards against a statement that loses its place in the queue when it chooses its
// endpoint again, and against long-waiting work behind what is more urgent.
func TestWaitersKeepTheirPlace(t *testing.T) {
	g := NewWithT(t)
	var q waitQueue
	start := time.Now()
	late := q.push(turnOf(1, start.Add(3*time.Millisecond)))
	early := q.push(turnOf(1, start))
	urgent := q.push(turnOf(0, start.Add(5*time.Millisecond)))
	g.Expect(q.pop(start)).To(BeIdenticalTo(urgent))
	g.Expect(q.pop(start)).To(BeIdenticalTo(early))
	g.Expect(q.remove(late)).To(BeTrue())
	g.Expect(q.remove(late)).To(BeFalse())
	g.Expect(q.pop(start)).To(BeNil())
}
