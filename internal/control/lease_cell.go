package control

import (
	"sync/atomic"
	"time"
)

// leaseCell carries the renewals of one owned term to Views that are already
// published, since publishing a View costs time for every pool.
type leaseCell struct {
	term  uint64
	start atomic.Pointer[time.Time]
	ended atomic.Bool
}

func newLeaseCell(term uint64, start time.Time) *leaseCell {
	c := &leaseCell{term: term}
	c.start.Store(&start)
	return c
}

// latest returns the later of the cell's lease start and the given one; ok is
// false if the ownership has ended.
func (c *leaseCell) latest(start time.Time) (latest time.Time, ok bool) {
	if renewed := *c.start.Load(); renewed.After(start) {
		start = renewed
	}
	return start, !c.ended.Load()
}

// renewLease updates the cell of the group's owned term.
func (g *group) renewLease() {
	s := g.state
	if g.lease != nil && (!s.Owned || g.lease.term != s.Term) {
		g.lease.ended.Store(true)
		g.lease = nil
	}
	switch {
	case !s.Owned:
	case g.lease == nil:
		g.lease = newLeaseCell(s.Term, s.LeaseStart)
	default:
		g.lease.start.Store(&s.LeaseStart)
	}
}
