package admission

import (
	"cmp"
	"slices"
	"time"
)

// slots keeps the endpoints of a group and the slots that are held.
type slots struct {
	byName map[string]*endpoint
	// order holds the current endpoints by name.
	order  []*endpoint
	grants uint64
}

func newSlots() *slots { return &slots{byName: make(map[string]*endpoint)} }

// set replaces the endpoints. An endpoint that is no longer listed is kept, and
// accepts nothing, while work runs on it, in case it is listed again.
func (s *slots) set(now time.Time, eps []Endpoint) {
	listed := make(map[string]bool, len(eps))
	for _, ep := range eps {
		listed[ep.Name] = true
		s.update(now, ep)
	}
	s.order = s.order[:0]
	for name, e := range s.byName {
		if !listed[name] {
			e.Accepting = false
		}
		if !listed[name] && len(e.running) == 0 {
			delete(s.byName, name)
			continue
		}
		s.order = append(s.order, e)
	}
	slices.SortFunc(s.order, func(a, b *endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// update takes over what is known of one endpoint. An endpoint that accepts work
// again starts with one slot and gains more with each run that succeeds and with
// time, so that the work that waited does not reach it all at once.
func (s *slots) update(now time.Time, ep Endpoint) {
	e := s.byName[ep.Name]
	if e == nil {
		s.byName[ep.Name] = &endpoint{Endpoint: ep, running: make(map[uint64]*run), limit: ep.Slots}
		return
	}
	switch {
	case ep.Accepting && !e.Accepting:
		e.limit, e.raised = 1, now
	case e.limit >= e.Slots:
		e.limit = ep.Slots
	}
	e.Endpoint = ep
}

// grant takes a slot for the item.
func (s *slots) grant(now time.Time, i *item, e *endpoint) Grant {
	s.grants++
	e.granted = s.grants
	e.grants++
	e.running[i.work.ID] = &run{work: i.work, started: now, expected: i.expected, class: i.class}
	if i.class == long {
		e.long++
	}
	return Grant{Work: i.work, Endpoint: e.Name}
}

// release frees the slot of a grant. It returns nil if the grant does not hold
// a slot, so that a grant that is released twice frees one slot only.
func (s *slots) release(g Grant) (*endpoint, *run) {
	e := s.byName[g.Endpoint]
	if e == nil {
		return nil, nil
	}
	r := e.running[g.Work.ID]
	if r == nil {
		return nil, nil
	}
	delete(e.running, g.Work.ID)
	if r.class == long {
		e.long--
	}
	return e, r
}

// accepting counts the endpoints of the role that accept work.
func (s *slots) accepting(primary bool) int {
	n := 0
	for _, e := range s.order {
		if e.Accepting && e.Primary == primary {
			n++
		}
	}
	return n
}
