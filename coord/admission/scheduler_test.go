package admission

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a scheduler that wastes slots at a peak: at 5 and 10 times the usual
// load, at least 95% of the slot time must go to work that ends in time.
func TestPeakUsesTheGroupsCapacity(t *testing.T) {
	for name, newSimulation := range map[string]func(float64) simulation{"cooperative": cooperative, "lindqvist": lindqvist} {
		for _, loadFactor := range []float64{5, 10} {
			sim := newSimulation(loadFactor)
			r := sim.run(NewScheduler(Config{}))
			NewWithT(t).Expect(sim.usefulShare(r)).To(BeNumerically(">=", 95), "%s at %vx", name, loadFactor)
		}
	}
}

// Guards against head-of-line blocking: the p99 of short work next to long work must
// be at most 1.5 times its p99 without long work.
func TestShortWorkIsNotBlockedByLongWork(t *testing.T) {
	for name, newSimulation := range map[string]func(float64) simulation{"cooperative": cooperative, "lindqvist": lindqvist} {
		for _, load := range []float64{1, 2, 3} {
			sim := newSimulation(load)
			sim.longRate = 0
			alone := sim.run(NewScheduler(Config{})).quantile(0.99)
			alongside := newSimulation(load).run(NewScheduler(Config{})).quantile(0.99)
			t.Logf("%s at %vx: p99 %.1f ms alone, %.1f ms alongside long work", name, load, ms(alone), ms(alongside))
			NewWithT(t).Expect(alongside).To(BeNumerically("<=", alone*3/2), "%s at %vx", name, load)
		}
	}
}

// Guards against lookups on the primary although replicas that lag by 2 s may serve
// them: at least 90% of the eligible lookups must run on replicas.
func TestReplicasServeEligibleLookups(t *testing.T) {
	r := lindqvist(1).run(NewScheduler(Config{}))
	NewWithT(t).Expect(float64(r.replicaReads) / float64(r.eligibleReads)).To(BeNumerically(">=", 0.9))
}

// Guards against long work that starves under an endless stream of short work: once it
// has reached the aging threshold, it must get one of the next grants, or, if older
// short work waits, the first one after that work has started or expired.
func TestAgingPreventsStarvation(t *testing.T) {
	const someGrants = defaultAgedGrantInterval * 50 * time.Millisecond
	for deadline, bound := range map[time.Duration]time.Duration{
		400 * time.Millisecond: defaultAgingThreshold + someGrants,
		2 * time.Second:        2*time.Second + someGrants,
	} {
		sim := lindqvist(10)
		sim.longRate = 0
		sim.statements = []simStatement{{name: "callout", share: 1, run: 8 * time.Millisecond, deadline: deadline}}
		probe := &longWorkProbe{Scheduler: NewScheduler(Config{}), id: 1 << 40, enqueueAt: simStart.Add(10 * time.Second)}
		sim.run(probe)
		waited := probe.granted.Sub(probe.enqueueAt)
		t.Logf("short deadline %v: long work waited %v", deadline, waited)
		NewWithT(t).Expect(waited).To(And(BeNumerically(">", 0), BeNumerically("<=", bound)))
	}
}

// longWorkProbe enqueues one long write during a simulation and records when it starts.
type longWorkProbe struct {
	Scheduler
	id        uint64
	enqueueAt time.Time
	enqueued  bool
	granted   time.Time
}

// Dispatch implements Scheduler.
func (p *longWorkProbe) Dispatch(now time.Time) ([]Grant, []Refusal) {
	if !p.enqueued && !now.Before(p.enqueueAt) {
		p.enqueued, p.enqueueAt = true, now
		p.Enqueue(now, Work{ID: p.id, Fingerprint: 99, Session: "long", Priority: 5, LongRunning: true, Arrived: now})
	}
	grants, refusals := p.Scheduler.Dispatch(now)
	for n, g := range grants {
		if g.Work.ID == p.id {
			p.granted = now
			p.Release(now, g, 0, false)
			return append(grants[:n], grants[n+1:]...), refusals
		}
	}
	return grants, refusals
}

// Guards against a burst, and against an order that lets work expire needlessly, when a
// new primary gets the work that waited for it.
func TestBacklogStartsInDeadlineOrderWithoutABurst(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler(Config{ShortExpected: time.Millisecond})
	eps := []Endpoint{{Name: "primary", Slots: 3, Primary: true, Accepting: true}}
	s.SetEndpoints(simStart, eps)
	eps[0].Accepting = false
	s.SetEndpoints(simStart, eps)
	for id := range uint64(20) {
		deadline := simStart.Add(5*time.Second - time.Duration(id)*100*time.Millisecond)
		g.Expect(s.Enqueue(simStart, Work{ID: id, Fingerprint: id, Arrived: simStart, Deadline: deadline})).To(BeNil())
	}
	grants, refusals := s.Dispatch(simStart.Add(time.Second))
	g.Expect(grants).To(BeEmpty())
	g.Expect(refusals).To(BeEmpty())

	eps[0].Accepting = true
	now := simStart.Add(2 * time.Second)
	s.SetEndpoints(now, eps)
	var order []uint64
	grants, _ = s.Dispatch(now)
	g.Expect(grants).To(HaveLen(1), "an endpoint that returns starts with one slot")
	for len(grants) > 0 {
		g.Expect(len(grants)).To(BeNumerically("<=", 3))
		order = append(order, grants[0].Work.ID)
		now = now.Add(time.Millisecond)
		s.Release(now, grants[0], time.Millisecond, false)
		more, late := s.Dispatch(now)
		g.Expect(late).To(BeEmpty())
		grants = append(grants[1:], more...)
	}
	g.Expect(order).To(HaveLen(20))
	// The deadlines fall with the ID; one grant in four goes by age, that is, by
	// the order of arrival.
	byAge := 0
	for n := 1; n < len(order); n++ {
		if order[n] > order[n-1] {
			byAge++
		}
	}
	g.Expect(order[1]).To(Equal(uint64(19)))
	g.Expect(byAge).To(BeNumerically("<=", len(order)/defaultAgedGrantInterval+1))
}

// Guards against work that waits although it cannot start before its deadline, and
// against callers that retry at the same time.
func TestWaitBeyondTheDeadlineIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler(Config{ShortExpected: 10 * time.Millisecond})
	s.SetEndpoints(simStart, []Endpoint{{Name: "primary", Slots: 2, Primary: true, Accepting: true}})
	hints := map[time.Duration]bool{}
	refused := 0
	for id := range uint64(100) {
		r := s.Enqueue(simStart, Work{ID: id, Session: string(rune(id)), Arrived: simStart, Deadline: simStart.Add(100 * time.Millisecond)})
		if r != nil {
			g.Expect(r.Reason).To(Equal(ReasonExpectedWait))
			hints[r.RetryAfter] = true
			refused++
		}
	}
	// 16 waiting statements of 10 ms keep 2 slots busy for 80 ms, which is the
	// deadline less the margin.
	g.Expect(s.Len()).To(Equal(16))
	g.Expect(len(hints)).To(BeNumerically(">", refused/2))
}

// Guards against statements that run long without being declared as long and then hold
// every slot.
func TestStatementAboveTheThresholdBecomesLong(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler(Config{})
	s.SetEndpoints(simStart, []Endpoint{{Name: "primary", Slots: 2, Primary: true, Accepting: true}})
	enqueue := func(id uint64) {
		g.Expect(s.Enqueue(simStart, Work{ID: id, Fingerprint: 7, Arrived: simStart})).To(BeNil())
	}
	enqueue(1)
	grants, _ := s.Dispatch(simStart)
	g.Expect(grants).To(HaveLen(1))
	s.Release(simStart, grants[0], time.Second, false)
	enqueue(2)
	enqueue(3)
	grants, _ = s.Dispatch(simStart)
	g.Expect(grants).To(HaveLen(1))
}

// Guards against long reads that take the primary's slots although a replica can run
// them soon, and against long reads that wait forever for a replica.
func TestLongReadsWaitForAReplicaUpToTheAgingThreshold(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler(Config{})
	s.SetEndpoints(simStart, simEndpoints(2, time.Millisecond))
	for id := range uint64(4) {
		g.Expect(s.Enqueue(simStart, Work{ID: id, LongRunning: true, ReadOnly: true, Arrived: simStart})).To(BeNil())
	}
	grants, _ := s.Dispatch(simStart)
	g.Expect(grants).To(HaveLen(2))
	for _, grant := range grants {
		g.Expect(grant.Endpoint).NotTo(Equal("primary"))
	}
	grants, _ = s.Dispatch(simStart.Add(defaultAgingThreshold + time.Millisecond))
	g.Expect(grants).To(HaveLen(1))
	g.Expect(grants[0].Endpoint).To(Equal("primary"))
}

// Guards against long work that takes the slots that a steady load of short work
// needs, and against long work that never starts under such a load.
func TestLongWorkGetsTheSlotsThatShortWorkLeaves(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler(Config{})
	s.SetEndpoints(simStart, simEndpoints(3, 0)[1:])
	now, id, longAt := simStart, uint64(0), time.Duration(0)
	const step = 20 * time.Millisecond
	for range 400 {
		now = now.Add(step)
		for range 5 {
			id++
			s.Enqueue(now, Work{ID: id, Session: time.Duration(id).String(), ReadOnly: true, Arrived: now})
		}
		if now.Equal(simStart.Add(6 * time.Second)) {
			s.Enqueue(now, Work{ID: 1 << 40, Fingerprint: 9, LongRunning: true, ReadOnly: true, Arrived: now})
		}
		grants, _ := s.Dispatch(now)
		for _, grant := range grants {
			s.Release(now.Add(step-1), grant, step-1, false)
			if grant.Work.LongRunning {
				longAt = now.Sub(simStart.Add(6 * time.Second))
			}
		}
	}
	g.Expect(longAt).To(BeNumerically(">", defaultAgingThreshold))
	g.Expect(longAt).To(BeNumerically("<=", defaultAgingThreshold+defaultAgedGrantInterval*step))
}

// Guards against a session with much waiting work that delays other sessions.
func TestSessionsShareFairly(t *testing.T) {
	g := NewWithT(t)
	s := NewScheduler(Config{})
	s.SetEndpoints(simStart, []Endpoint{{Name: "primary", Slots: 1, Primary: true, Accepting: true}})
	for id := range uint64(50) {
		g.Expect(s.Enqueue(simStart, Work{ID: id, Session: "busy", Arrived: simStart})).To(BeNil())
	}
	g.Expect(s.Enqueue(simStart, Work{ID: 99, Session: "other", Arrived: simStart})).To(BeNil())
	first, _ := s.Dispatch(simStart)
	s.Release(simStart, first[0], 5*time.Millisecond, false)
	second, _ := s.Dispatch(simStart)
	g.Expect(second[0].Work.ID).To(Equal(uint64(99)))
}

// Guards against retries that multiply an overload.
func TestBudgetLimitsRetriesToAShare(t *testing.T) {
	g := NewWithT(t)
	b := NewRetryBudget(0.1, 5)
	retries := 0
	for range 1000 {
		b.CountRequest()
		for b.TryRetry() {
			retries++
		}
	}
	g.Expect(retries).To(BeNumerically("~", 104, 2))
}

// Measures Enqueue and Dispatch with 5,000 statements waiting.
func BenchmarkEnqueueDispatch(b *testing.B) {
	s := NewScheduler(Config{})
	s.SetEndpoints(simStart, simEndpoints(3, time.Millisecond))
	now, id := simStart, uint64(0)
	var queue []Grant
	enqueue := func() {
		id++
		s.Enqueue(now, Work{ID: id, Session: sessionNames[id%uint64(len(sessionNames))], Fingerprint: id % 16, ReadOnly: id%4 != 0, Arrived: now})
	}
	for range 5000 {
		enqueue()
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		enqueue()
		grants, _ := s.Dispatch(now)
		queue = append(queue, grants...)
		s.Release(now, queue[0], 3*time.Millisecond, false)
		queue = queue[1:]
	}
}

var sessionNames = func() []string {
	names := make([]string, 1000)
	for n := range names {
		names[n] = time.Duration(n).String()
	}
	return names
}()
