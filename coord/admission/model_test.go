package admission_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/beryltrestle/beryltrestle/coord/admission"
)

const (
	waiting = iota
	running
	ended
)

// schedulerModel drives a scheduler with random events and checks the rules that every
// scheduler follows.
type schedulerModel struct {
	s         admission.Scheduler
	checks    policyChecks
	now       time.Time
	nextID    uint64
	endpoints map[string]admission.Endpoint
	work      map[uint64]admission.Work
	state     map[uint64]int
	grants    []admission.Grant
	released  []admission.Grant
	blocked   map[string]bool
}

// policyChecks are the rules that only some schedulers follow.
type policyChecks struct {
	longLimit bool
	// earlyRefusal is how long before its deadline waiting work may be refused.
	earlyRefusal time.Duration
}

func newSchedulerModel(s admission.Scheduler, checks policyChecks) *schedulerModel {
	return &schedulerModel{
		s: s, checks: checks, now: at(0), endpoints: map[string]admission.Endpoint{},
		work: map[uint64]admission.Work{}, state: map[uint64]int{}, blocked: map[string]bool{},
	}
}

// Endpoints replaces the endpoints.
func (m *schedulerModel) Endpoints(t *rapid.T) {
	var eps []admission.Endpoint
	primary := rapid.IntRange(0, 3).Draw(t, "primary")
	for n := range rapid.SampledFrom([]int{0, 1, 2, 3, 3, 3}).Draw(t, "endpoints") {
		eps = append(eps, admission.Endpoint{
			Name:      fmt.Sprint("e", n),
			Slots:     rapid.IntRange(0, 3).Draw(t, "slots"),
			Primary:   n == primary,
			Accepting: rapid.IntRange(0, 3).Draw(t, "accepting") > 0,
			Distance:  time.Duration(rapid.IntRange(0, 3).Draw(t, "distance")) * time.Millisecond,
		})
	}
	m.endpoints = map[string]admission.Endpoint{}
	for _, e := range eps {
		m.endpoints[e.Name] = e
	}
	m.s.SetEndpoints(m.now, eps)
}

// Block changes which endpoints reads may use.
func (m *schedulerModel) Block(t *rapid.T) {
	name := fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "endpoint"))
	m.blocked[name] = rapid.IntRange(0, 3).Draw(t, "blocked") == 0
}

// Enqueue enqueues new work.
func (m *schedulerModel) Enqueue(t *rapid.T) {
	m.nextID++
	w := admission.Work{
		ID:          m.nextID,
		Session:     fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "session")),
		Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "fingerprint"),
		Priority:    rapid.IntRange(0, 2).Draw(t, "priority"),
		ReadOnly:    rapid.Bool().Draw(t, "read only"),
		LongRunning: rapid.IntRange(0, 3).Draw(t, "long") == 0,
		Arrived:     m.now,
		Deadline:    m.now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "deadline")) * time.Millisecond),
		Eligible:    func(name string) bool { return !m.blocked[name] },
	}
	m.work[w.ID] = w
	m.state[w.ID] = waiting
	if r := m.s.Enqueue(m.now, w); r != nil {
		m.state[w.ID] = ended
	}
}

// Dispatch takes grants and refusals from the scheduler and checks them.
func (m *schedulerModel) Dispatch(t *rapid.T) {
	grants, refusals := m.s.Dispatch(m.now)
	for _, r := range refusals {
		if m.state[r.Work.ID] != waiting || m.now.Add(m.checks.earlyRefusal).Before(r.Work.Deadline) {
			t.Fatalf("work %d was refused in state %d, deadline %v", r.Work.ID, m.state[r.Work.ID], r.Work.Deadline)
		}
		m.state[r.Work.ID] = ended
	}
	for _, g := range grants {
		m.grant(t, g)
	}
}

func (m *schedulerModel) grant(t *rapid.T, g admission.Grant) {
	e := m.endpoints[g.Endpoint]
	held, long := 1, 0
	for _, other := range m.grants {
		if other.Endpoint != g.Endpoint {
			continue
		}
		held++
		if other.Work.LongRunning {
			long++
		}
	}
	switch {
	case m.state[g.Work.ID] != waiting:
		t.Fatalf("work %d was granted in state %d", g.Work.ID, m.state[g.Work.ID])
	case !m.now.Before(g.Work.Deadline):
		t.Fatalf("work %d was started after its deadline", g.Work.ID)
	case !e.Accepting || held > e.Slots:
		t.Fatalf("%d of %d slots of %q are held, accepting %v", held, e.Slots, g.Endpoint, e.Accepting)
	case m.blocked[g.Endpoint] || !g.Work.ReadOnly && !e.Primary:
		t.Fatalf("work %d is not eligible on %q", g.Work.ID, g.Endpoint)
	case m.checks.longLimit && g.Work.LongRunning && e.Slots > 1 && long >= e.Slots-1:
		t.Fatalf("long work holds all %d slots of %q", e.Slots, g.Endpoint)
	}
	m.state[g.Work.ID] = running
	m.grants = append(m.grants, g)
}

// Release frees a slot.
func (m *schedulerModel) Release(t *rapid.T) {
	if len(m.grants) == 0 {
		t.Skip("nothing runs")
	}
	n := rapid.IntRange(0, len(m.grants)-1).Draw(t, "grant")
	g := m.grants[n]
	m.grants = append(m.grants[:n], m.grants[n+1:]...)
	m.released = append(m.released, g)
	m.state[g.Work.ID] = ended
	ran := time.Duration(rapid.IntRange(0, 200).Draw(t, "ran")) * time.Millisecond
	m.s.Release(m.now, g, ran, rapid.Bool().Draw(t, "failed"))
}

// ReleaseAgain releases a slot a second time, which must have no effect.
func (m *schedulerModel) ReleaseAgain(t *rapid.T) {
	if len(m.released) == 0 {
		t.Skip("nothing was released")
	}
	m.s.Release(m.now, rapid.SampledFrom(m.released).Draw(t, "grant"), time.Millisecond, false)
}

// Remove takes work out of the queue.
func (m *schedulerModel) Remove(t *rapid.T) {
	id := rapid.Uint64Range(0, m.nextID).Draw(t, "id")
	s, known := m.state[id]
	if removed := m.s.Remove(id); removed != (known && s == waiting) {
		t.Fatalf("Remove(%d) is %v in state %d", id, removed, s)
	} else if removed {
		m.state[id] = ended
	}
}

// Advance lets time pass.
func (m *schedulerModel) Advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
}

// Check dispatches after each event, as an owner does, and compares the queue's length
// and its next wake-up with the model.
func (m *schedulerModel) Check(t *rapid.T) {
	m.Dispatch(t)
	n := 0
	var earliest time.Time
	for id, w := range m.work {
		if m.state[id] != waiting {
			continue
		}
		n++
		if earliest.IsZero() || w.Deadline.Before(earliest) {
			earliest = w.Deadline
		}
	}
	if m.s.Len() != n {
		t.Fatalf("%d items wait, want %d", m.s.Len(), n)
	}
	wake := m.s.NextWake(m.now)
	if wake.IsZero() != (n == 0) || wake.After(earliest) {
		t.Fatalf("NextWake is %v with %d items waiting, earliest deadline %v", wake, n, earliest)
	}
}

func (m *schedulerModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":         m.Check,
		"advance":  m.Advance,
		"again":    m.ReleaseAgain,
		"block":    m.Block,
		"endpoint": m.Endpoints,
		"offer":    m.Enqueue,
		"offer 2":  m.Enqueue,
		"offer 3":  m.Enqueue,
		"release":  m.Release,
		"remove":   m.Remove,
	}
}

// Guards against a slot that is granted twice or freed twice, work that starts twice,
// after its deadline or on an endpoint that may not run it, and long work that holds
// all slots.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedulerModel(admission.NewScheduler(admission.Config{}), policyChecks{longLimit: true, earlyRefusal: 150 * time.Millisecond})
		m.Endpoints(t)
		t.Repeat(m.actions())
	})
}

// Guards against the same faults in the baseline, which has no limit for long work.
func TestFIFOInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSchedulerModel(admission.NewFIFO(admission.FIFOConfig{ReplicaReads: true}), policyChecks{})
		m.Endpoints(t)
		t.Repeat(m.actions())
	})
}
