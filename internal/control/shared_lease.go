package control

import (
	"sync/atomic"
	"time"
)

// sharedLease is the read lease of one owned term. Views that are already
// published see its renewals, since publishing a View can cost time for every
// pool.
type sharedLease struct {
	term  uint64
	start atomic.Pointer[time.Time]
	ended atomic.Bool
}

func newSharedLease(term uint64, start time.Time) *sharedLease {
	l := &sharedLease{term: term}
	l.start.Store(&start)
	return l
}

// latestStart returns the later of the lease's start and the given one; ok is
// false if the ownership has ended.
func (l *sharedLease) latestStart(start time.Time) (latest time.Time, ok bool) {
	if renewed := *l.start.Load(); renewed.After(start) {
		start = renewed
	}
	return start, !l.ended.Load()
}

// updateLease starts, renews or ends the group's lease to match its state.
func (g *group) updateLease() {
	s := g.state
	if g.lease != nil && (!s.Owned || g.lease.term != s.Term) {
		g.lease.ended.Store(true)
		g.lease = nil
	}
	switch {
	case !s.Owned:
	case g.lease == nil:
		g.lease = newSharedLease(s.Term, s.LeaseStart)
	default:
		g.lease.start.Store(&s.LeaseStart)
	}
}
