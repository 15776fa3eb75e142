package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// requestAt returns a request that arrived the given milliseconds after the start, with
// an objective of 200 ms and a deadline of 1 s.
func requestAt(start time.Time, ms, priority int) admission.QueuedRequest {
	at := start.Add(time.Duration(ms) * time.Millisecond)
	return admission.QueuedRequest{
		Priority: priority, Arrived: at,
		Objective: at.Add(200 * time.Millisecond), Deadline: at.Add(time.Second),
	}
}

// Guards against a request of high priority that is served after others, and against a
// request that has missed its objective and is served before one that can meet it.
func TestRequestsPastTheirObjectiveGoLast(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	early, later, urgent := requestAt(start, 0, 2), requestAt(start, 150, 2), requestAt(start, 180, 1)
	now := start.Add(190 * time.Millisecond)
	g.Expect(early.Before(later, now)).To(BeTrue())
	g.Expect(urgent.Before(early, now)).To(BeTrue())
	now = start.Add(210 * time.Millisecond)
	g.Expect(early.Before(later, now)).To(BeFalse())
	g.Expect(later.Before(early, now)).To(BeTrue())
	g.Expect(early.WaitDeadline()).To(Equal(start.Add(500 * time.Millisecond)))
}

// Guards against a request that is refused although it can be answered in time, and
// against one that waits although its answer would be late.
func TestRequestsThatWouldBeLateAreRefused(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	request := requestAt(start, 0, 1)
	g.Expect(request.ShouldRefuse(start, 110*time.Millisecond)).To(BeFalse())
	g.Expect(request.ShouldRefuse(start, 190*time.Millisecond)).To(BeTrue())
	late := start.Add(300 * time.Millisecond)
	g.Expect(request.ShouldRefuse(late, 600*time.Millisecond)).To(BeFalse())
	g.Expect(request.ShouldRefuse(late, 800*time.Millisecond)).To(BeTrue())
}

// Simulates 4 s of twice the load that one endpoint with 3 slots can serve, in steps of
// 1 ms. Guards against a queue in order of arrival, in which nearly every answer misses
// its objective: with QueuedRequest's order and refusals, at least nine tenths of the
// capacity must go to answers in time.
func TestOverloadIsServedWithinTheObjective(t *testing.T) {
	g := NewWithT(t)
	const (
		slots           = 3
		run             = 20
		duration        = 4000
		arrivalInterval = run / slots / 2
		capacity        = duration / run * slots
	)
	simulate := func(ordered bool) (inTime int) {
		start := time.Unix(0, 0)
		var waiting []admission.QueuedRequest
		var busy [slots]int
		for ms := 0; ms < duration; ms++ {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%arrivalInterval == 0 {
				w := requestAt(start, ms, 1)
				wait := time.Duration(len(waiting)/slots+1) * run * time.Millisecond
				if !ordered || !w.ShouldRefuse(now, wait) {
					waiting = append(waiting, w)
				}
			}
			for s := range busy {
				if busy[s] > ms || len(waiting) == 0 {
					continue
				}
				next := 0
				for i, w := range waiting {
					if ordered && w.Before(waiting[next], now) {
						next = i
					}
				}
				w := waiting[next]
				waiting = append(waiting[:next], waiting[next+1:]...)
				busy[s] = ms + run
				if !w.ObjectiveMissed(now.Add(run * time.Millisecond)) {
					inTime++
				}
			}
		}
		return inTime
	}
	g.Expect(simulate(true)).To(BeNumerically(">=", capacity*9/10))
	g.Expect(simulate(false)).To(BeNumerically("<", capacity/2))
}
