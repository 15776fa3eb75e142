package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

// turnAt returns work that arrived some milliseconds after the start, with an
// objective of 200 ms and a deadline of 1 s.
func turnAt(start time.Time, ms, priority int) admission.QueuedRequest {
	at := start.Add(time.Duration(ms) * time.Millisecond)
	return admission.QueuedRequest{
		Priority: priority, Arrived: at,
		Objective: at.Add(200 * time.Millisecond), Deadline: at.Add(time.Second),
	}
}

// Guards against urgent work behind other work, and against work that has missed its
// objective before work that can still meet it.
func TestLateWorkGoesLast(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	early, later, urgent := turnAt(start, 0, 2), turnAt(start, 150, 2), turnAt(start, 180, 1)
	now := start.Add(190 * time.Millisecond)
	g.Expect(early.Before(later, now)).To(BeTrue())
	g.Expect(urgent.Before(early, now)).To(BeTrue())
	now = start.Add(210 * time.Millisecond)
	g.Expect(early.Before(later, now)).To(BeFalse())
	g.Expect(later.Before(early, now)).To(BeTrue())
	g.Expect(early.WaitDeadline()).To(Equal(start.Add(500 * time.Millisecond)))
}

// Guards against work that is refused although it can be answered in time, and
// against work that waits for an answer which comes too late.
func TestHopelessWorkIsKnownAtOnce(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	w := turnAt(start, 0, 1)
	g.Expect(w.ShouldRefuse(start, 110*time.Millisecond)).To(BeFalse())
	g.Expect(w.ShouldRefuse(start, 190*time.Millisecond)).To(BeTrue())
	late := start.Add(300 * time.Millisecond)
	g.Expect(w.ShouldRefuse(late, 600*time.Millisecond)).To(BeFalse())
	g.Expect(w.ShouldRefuse(late, 800*time.Millisecond)).To(BeTrue())
}

// Replays a crest of twice the capacity for 4 s before one endpoint with 3 slots, in
// steps of 1 ms. Guards against a queue in order of arrival, at which nearly every
// answer misses the objective: with turns at least nine tenths of the capacity must go
// to answers in time.
func TestCrestIsServedWithinTheObjective(t *testing.T) {
	g := NewWithT(t)
	const (
		slots    = 3
		run      = 20
		crest    = 4000
		every    = run / slots / 2
		capacity = crest / run * slots
	)
	play := func(turns bool) (inTime int) {
		start := time.Unix(0, 0)
		var waiting []admission.QueuedRequest
		var busy [slots]int
		for ms := 0; ms < crest; ms++ {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			if ms%every == 0 {
				w := turnAt(start, ms, 1)
				wait := time.Duration(len(waiting)/slots+1) * run * time.Millisecond
				if !turns || !w.ShouldRefuse(now, wait) {
					waiting = append(waiting, w)
				}
			}
			for s := range busy {
				if busy[s] > ms || len(waiting) == 0 {
					continue
				}
				next := 0
				for i, w := range waiting {
					if turns && w.Before(waiting[next], now) {
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
	g.Expect(play(true)).To(BeNumerically(">=", capacity*9/10))
	g.Expect(play(false)).To(BeNumerically("<", capacity/2))
}
