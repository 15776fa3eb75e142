package admission

import (
	"cmp"
	"slices"
	"time"
)

// slots holds the endpoints of a group and tracks which of their slots are held.
type slots struct {
	byName map[string]*endpoint
	// sorted holds the endpoints in the order of their names.
	sorted     []*endpoint
	grantCount uint64
}

func newSlots() *slots { return &slots{byName: make(map[string]*endpoint)} }

// set replaces the endpoints. An endpoint that is no longer listed stays, without
// accepting work, as long as work runs on it, so that its held slots still count if
// it is listed again.
func (s *slots) set(now time.Time, eps []Endpoint) {
	listed := make(map[string]bool, len(eps))
	for _, ep := range eps {
		listed[ep.Name] = true
		s.update(now, ep)
	}
	s.sorted = s.sorted[:0]
	for name, e := range s.byName {
		if !listed[name] {
			e.Accepting = false
		}
		if !listed[name] && len(e.running) == 0 {
			delete(s.byName, name)
			continue
		}
		s.sorted = append(s.sorted, e)
	}
	slices.SortFunc(s.sorted, func(a, b *endpoint) int { return cmp.Compare(a.Name, b.Name) })
}

// update adds or updates one endpoint. An endpoint that accepts work again starts with
// one usable slot and gains more with time and with each run that succeeds, so that
// the work that waited does not reach it all at once.
func (s *slots) update(now time.Time, ep Endpoint) {
	e := s.byName[ep.Name]
	if e == nil {
		s.byName[ep.Name] = &endpoint{Endpoint: ep, running: make(map[uint64]*run), slotLimit: ep.Slots}
		return
	}
	switch {
	case ep.Accepting && !e.Accepting:
		e.slotLimit, e.limitRaisedAt = 1, now
	case e.slotLimit >= e.Slots:
		e.slotLimit = ep.Slots
	}
	e.Endpoint = ep
}

// grant takes a slot for the item.
func (s *slots) grant(now time.Time, i *item, e *endpoint) Grant {
	s.grantCount++
	e.lastGrant = s.grantCount
	e.grantCount++
	e.running[i.work.ID] = &run{work: i.work, started: now, expected: i.expected, class: i.class}
	if i.class == long {
		e.longRunning++
	}
	return Grant{Work: i.work, Endpoint: e.Name}
}

// release frees the slot of a grant. It returns nil if the grant holds no slot, so
// that a second release of the same grant has no effect.
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
		e.longRunning--
	}
	return e, r
}

// countAccepting counts the primaries, or the replicas, that accept work.
func (s *slots) countAccepting(primary bool) int {
	n := 0
	for _, e := range s.sorted {
		if e.Accepting && e.Primary == primary {
			n++
		}
	}
	return n
}
