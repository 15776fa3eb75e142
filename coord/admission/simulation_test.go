package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simStatement is one kind of statement in a simulated workload.
type simStatement struct {
	name     string
	share    float64
	deadline time.Duration
	run      time.Duration
	readOnly bool
	long     bool
}

// simulation is one workload on one group, in virtual time.
type simulation struct {
	eps        []Endpoint
	statements []simStatement
	// rate is the number of short statements per second at the usual load.
	rate       float64
	loadFactor float64
	// longRate is the number of long statements per second, whatever loadFactor is.
	longRate   float64
	replicaLag time.Duration
	length     time.Duration
	sessions   int
	seed       uint64
	// The primary accepts no work from outageStart to outageEnd.
	outageStart, outageEnd time.Duration
}

// simResult is what was measured during the peak.
type simResult struct {
	offered, inTime, late, refused int
	// refusedOnEnqueue is the part of refused that Enqueue refused.
	refusedOnEnqueue            int
	waits                       []time.Duration
	longDone                    int
	replicaReads, eligibleReads int
	// usefulTime is the slot time, within the peak, of short work that ended in time
	// and of long work.
	usefulTime time.Duration
}

type simEvent struct {
	at    time.Time
	grant *Grant
	work  *Work
	run   time.Duration
	order int
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var simStart = time.Unix(1_000_000, 0)

// cooperative is the co-operative's workload: bookings and checks of the roster, and a
// few ledger reconciliations. At 5 times the usual load, writes need 3.9 slots of the
// primary, which has 3, and reads 6.7 slots of the replicas, which have 6, so that all
// slots can be kept busy.
func cooperative(loadFactor float64) simulation {
	return simulation{
		eps: simEndpoints(3, 500*time.Microsecond),
		statements: []simStatement{
			{name: "book", share: 0.25, run: 6 * time.Millisecond, deadline: 2 * time.Second},
			{name: "check", share: 0.75, run: 3 * time.Millisecond, deadline: time.Second, readOnly: true},
			{name: "ledger", run: 800 * time.Millisecond, deadline: 10 * time.Second, readOnly: true, long: true},
		},
		rate: 520, loadFactor: loadFactor, longRate: 1, replicaLag: 100 * time.Millisecond,
		length: 20 * time.Second, sessions: 400, seed: 1,
	}
}

// lindqvist is Lindqvist's workload: callouts, lookups of visits on replicas that lag
// by 2 s, and long statements for parts and invoices.
func lindqvist(loadFactor float64) simulation {
	return simulation{
		eps: simEndpoints(2, 1500*time.Microsecond),
		statements: []simStatement{
			{name: "callout", share: 0.15, run: 8 * time.Millisecond, deadline: 2 * time.Second},
			{name: "lookup", share: 0.85, run: 4 * time.Millisecond, deadline: time.Second, readOnly: true},
			{name: "invoices", run: 500 * time.Millisecond, deadline: 10 * time.Second, readOnly: true, long: true},
		},
		rate: 250, loadFactor: loadFactor, longRate: 1, replicaLag: 2 * time.Second,
		length: 20 * time.Second, sessions: 4000, seed: 2,
	}
}

func simEndpoints(slots int, distance time.Duration) []Endpoint {
	return []Endpoint{
		{Name: "primary", Slots: slots, Primary: true, Accepting: true},
		{Name: "replica-1", Slots: slots, Accepting: true, Distance: distance},
		{Name: "replica-2", Slots: slots, Accepting: true, Distance: distance},
	}
}

// simRun is the state of a running simulation.
type simRun struct {
	simulation
	s               Scheduler
	id              uint64
	events          simEvents
	order           int
	lastWrite       map[string]time.Time
	runTimes        map[uint64]time.Duration
	result          simResult
	replicaEligible map[uint64]bool
	now             time.Time
	// wake is the pending wake-up, so that each is scheduled once.
	wake time.Time
}

// run simulates the workload: 5 s at the usual load, then the peak. The sequence of
// arrivals, sessions and run times depends only on the seed, not on the scheduler.
func (sim simulation) run(s Scheduler) simResult {
	r := &simRun{
		simulation: sim, s: s,
		lastWrite: map[string]time.Time{}, runTimes: map[uint64]time.Duration{}, replicaEligible: map[uint64]bool{},
	}
	r.scheduleArrivals()
	s.SetEndpoints(simStart, sim.eps)
	down := false
	for r.events.Len() > 0 {
		e := heap.Pop(&r.events).(simEvent)
		if out := sim.outageEnd > 0 && r.within(e.at, sim.outageStart, sim.outageEnd); out != down {
			down = out
			eps := slices.Clone(sim.eps)
			eps[0].Accepting = !out
			s.SetEndpoints(e.at, eps)
		}
		r.handleEvent(e)
		r.dispatch(e.at)
	}
	return r.result
}

func (r *simRun) within(at time.Time, from, to time.Duration) bool {
	d := at.Sub(simStart)
	return d >= from && d < to
}

// measured reports whether the result counts work that arrived at the time, that is,
// during the peak.
func (r *simRun) measured(at time.Time) bool { return r.within(at, 5*time.Second, r.length) }

func (r *simRun) push(e simEvent) {
	r.order++
	e.order = r.order
	heap.Push(&r.events, e)
}

// scheduleArrivals schedules the short statements and, from a random sequence of their own,
// the long ones.
func (r *simRun) scheduleArrivals() {
	r.scheduleArrivalsOf(false, rand.New(rand.NewPCG(r.seed, 1)))
	if r.longRate > 0 {
		r.scheduleArrivalsOf(true, rand.New(rand.NewPCG(r.seed, 2)))
	}
}

// scheduleArrivalsOf schedules the arrivals of the long statements, or of the short ones,
// at random times with the rate of their class.
func (r *simRun) scheduleArrivalsOf(long bool, random *rand.Rand) {
	for at := simStart; ; {
		rate := r.rate
		if r.measured(at) {
			rate *= r.loadFactor
		}
		if long {
			rate = r.longRate
		}
		at = at.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if at.Sub(simStart) >= r.length {
			return
		}
		w, run := r.newWork(long, at, random)
		r.push(simEvent{at: at, work: &w, run: run})
	}
}

// newWork returns the work of a random statement of the class, and its run time.
func (r *simRun) newWork(long bool, at time.Time, random *rand.Rand) (Work, time.Duration) {
	kind := len(r.statements) - 1
	if !long {
		kind = 0
		for pick := random.Float64() - r.statements[0].share; pick > 0; pick -= r.statements[kind].share {
			kind++
		}
	}
	k := r.statements[kind]
	session := fmt.Sprint(random.IntN(r.sessions))
	spread := math.Exp(0.3*random.NormFloat64() - 0.045)
	r.id++
	w := Work{
		ID: r.id, Session: session, Fingerprint: uint64(kind), Priority: 5, LongRunning: k.long, ReadOnly: k.readOnly,
		Arrived: at, Deadline: at.Add(k.deadline),
	}
	w.Eligible = func(name string) bool { return name == "primary" || r.replicasCaughtUp(session) }
	return w, time.Duration(float64(k.run) * spread)
}

// replicasCaughtUp reports whether replicas have caught up with the session's last write.
func (r *simRun) replicasCaughtUp(session string) bool {
	last, wrote := r.lastWrite[session]
	return !wrote || !r.now.Before(last.Add(r.replicaLag))
}

func (r *simRun) handleEvent(e simEvent) {
	r.now = e.at
	switch {
	case e.work != nil:
		r.enqueue(*e.work, e)
	case e.grant != nil:
		r.finish(e)
	}
}

func (r *simRun) enqueue(w Work, e simEvent) {
	counted := r.measured(w.Arrived) && !w.LongRunning
	if counted {
		r.result.offered++
	}
	if counted && w.ReadOnly && r.replicasCaughtUp(w.Session) {
		r.result.eligibleReads++
		r.replicaEligible[w.ID] = true
	}
	r.runTimes[w.ID] = e.run
	if r.s.Enqueue(e.at, w) != nil && counted {
		r.result.refused++
		r.result.refusedOnEnqueue++
	}
}

func (r *simRun) finish(e simEvent) {
	w := e.grant.Work
	r.s.Release(e.at, *e.grant, e.run, false)
	if !w.ReadOnly {
		r.lastWrite[w.Session] = e.at
	}
	if w.LongRunning || !e.at.After(w.Deadline) {
		r.result.usefulTime += r.overlap(e)
	}
	if !r.measured(w.Arrived) {
		return
	}
	if w.LongRunning {
		r.result.longDone++
		return
	}
	if e.at.After(w.Deadline) {
		r.result.late++
		return
	}
	r.result.inTime++
	r.result.waits = append(r.result.waits, e.at.Sub(w.Arrived))
}

// overlap returns the part of a run that lies within the peak.
func (r *simRun) overlap(e simEvent) time.Duration {
	end := min(e.at.Sub(simStart), r.length)
	return max(end-max(e.at.Add(-e.run).Sub(simStart), 5*time.Second), 0)
}

func (r *simRun) dispatch(now time.Time) {
	grants, refusals := r.s.Dispatch(now)
	for _, x := range refusals {
		if r.measured(x.Work.Arrived) && !x.Work.LongRunning {
			r.result.refused++
		}
	}
	for _, g := range grants {
		run := r.runTimes[g.Work.ID]
		if r.replicaEligible[g.Work.ID] && g.Endpoint != "primary" {
			r.result.replicaReads++
		}
		r.push(simEvent{at: now.Add(run), grant: &g, run: run})
	}
	wake := r.s.NextWake(now)
	if pending := r.wake.After(now) && !wake.Before(r.wake); !wake.IsZero() && !pending {
		r.wake = wake
		r.push(simEvent{at: wake})
	}
}

// usefulShare returns the useful slot time in percent of all slot time of the peak.
func (sim simulation) usefulShare(r simResult) float64 {
	slots := 0
	for _, e := range sim.eps {
		slots += e.Slots
	}
	return 100 * float64(r.usefulTime) / (float64(slots) * float64(sim.length-5*time.Second))
}

func (r simResult) quantile(q float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[int(q*float64(len(r.waits)-1))]
}

// adaptiveLIFO serves in order of arrival, and the latest arrival first while the oldest
// work has waited longer than 100 ms ("LIFO under overload").
type adaptiveLIFO struct {
	*orderedScheduler
	reversed bool
}

func newAdaptiveLIFO() Scheduler {
	l := &adaptiveLIFO{}
	l.orderedScheduler = newOrderedScheduler(FIFOConfig{ReplicaReads: true}, func(a, b *item) bool {
		if l.reversed {
			return a.sequence > b.sequence
		}
		return a.sequence < b.sequence
	})
	return l
}

func (l *adaptiveLIFO) Dispatch(now time.Time) ([]Grant, []Refusal) {
	first := l.deadlines.first()
	reversed := first != nil && now.Sub(first.work.Arrived) > 100*time.Millisecond
	if reversed != l.reversed {
		l.reversed = reversed
		heap.Init(&l.queue)
	}
	return l.orderedScheduler.Dispatch(now)
}

func simPolicies() []struct {
	name string
	make func() Scheduler
} {
	return []struct {
		name string
		make func() Scheduler
	}{
		{"naive", func() Scheduler { return NewFIFO(FIFOConfig{}) }},
		{"fifo", func() Scheduler { return NewFIFO(FIFOConfig{ReplicaReads: true}) }},
		{"lifo", newAdaptiveLIFO},
		{"deadline", func() Scheduler { return newOrderedScheduler(FIFOConfig{ReplicaReads: true}, byDeadline) }},
		{"current", func() Scheduler { return NewScheduler(Config{}) }},
	}
}

// Measures the table of docs/design/admission.md; run it once with -benchtime 1x.
// The rows go to standard output, since go test truncates the log of a benchmark.
func BenchmarkCompareOrders(b *testing.B) {
	for range b.N {
		for _, loadFactor := range []float64{1, 5, 10} {
			for _, p := range simPolicies() {
				fmt.Println(compareRow("cooperative", p.name, cooperative(loadFactor), p.make()))
				fmt.Println(compareRow("lindqvist", p.name, lindqvist(loadFactor), p.make()))
			}
		}
	}
}

func compareRow(name, policy string, sim simulation, s Scheduler) string {
	r := sim.run(s)
	seconds := sim.length.Seconds() - 5
	refusedOnEnqueue := 100 * float64(r.refusedOnEnqueue) / float64(max(r.refused, 1))
	return fmt.Sprintf("| %s | %.0fx | %s | %.0f | %.0f | %.1f | %d | %d | %.0f | %.1f | %.0f | %.1f |",
		name, sim.loadFactor, policy, float64(r.offered)/seconds, float64(r.inTime)/seconds, sim.usefulShare(r),
		r.late, r.refused, refusedOnEnqueue, ms(r.quantile(0.5)), ms(r.quantile(0.99)),
		100*float64(r.replicaReads)/float64(max(r.eligibleReads, 1)))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
