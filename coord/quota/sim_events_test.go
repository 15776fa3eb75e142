package quota

import (
	"container/heap"
	"time"
)

// simEvent is something that happens at a time of the simulation.
type simEvent struct {
	at    time.Duration
	order int
	// host is the host that handles the event, in the given incarnation; nil if none does.
	host        *simHost
	incarnation int
	do          func()
}

// simEvents is a queue of events in order of time.
type simEvents []*simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(*simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = nil
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules an event that no host handles.
func (s *simulation) after(delay time.Duration, do func()) { s.on(nil, delay, do) }

// on schedules an event that a host handles: not if the host restarts before, and late if it is
// frozen.
func (s *simulation) on(h *simHost, delay time.Duration, do func()) {
	e := &simEvent{at: s.elapsed + delay, do: do, host: h}
	if h != nil {
		e.incarnation = h.incarnation
	}
	s.push(e)
}

func (s *simulation) push(e *simEvent) {
	s.order++
	e.order = s.order
	heap.Push(&s.events, e)
}

// runUntil handles the events up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(*simEvent)
		s.elapsed = e.at
		switch {
		case e.host == nil:
			e.do()
		case !e.host.up || e.incarnation != e.host.incarnation:
		case e.at < e.host.frozenUntil:
			e.at = e.host.frozenUntil
			s.push(e)
		default:
			e.do()
		}
	}
	s.elapsed = end
}

// now is the present time.
func (s *simulation) now() time.Time { return start.Add(s.elapsed) }

// between returns a random duration.
func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.rng.Float64()*float64(to-from))
}
