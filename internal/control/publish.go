package control

import (
	"maps"
	"time"
)

// publishCost is the time between two Views that differ in endpoint statuses
// only, for each pool of the manifest: a View copies an entry of each pool, and
// without a limit the polls of a few groups among thousands of pools would take
// more processor time than everything else in this package.
const publishCost = 150 * time.Microsecond

// View implements Controller.
func (l *Loop) View() *View { return l.view.Load() }

// Changed implements Controller. A caller that takes the channel before the
// View misses no change.
func (l *Loop) Changed() <-chan struct{} { return *l.changed.Load() }

// publish makes the current state visible: changes at once, mere renewals of
// endpoint statuses at a limited rate.
func (l *Loop) publish() {
	now := time.Now()
	changed := l.dirtyAll || len(l.dirty) > 0
	interval := time.Duration(len(l.groups)) * publishCost
	if !changed && (len(l.stale) == 0 || now.Sub(l.publishedAt) < interval) {
		return
	}
	v := &View{Generation: l.generation, Manifest: l.document, Groups: l.groupViews()}
	l.dirtyAll = false
	clear(l.dirty)
	clear(l.stale)
	l.publishedAt = now
	l.view.Store(v)
	ch := make(chan struct{})
	close(*l.changed.Swap(&ch))
}

// groupViews returns the groups of the next View.
func (l *Loop) groupViews() map[string]GroupView {
	if l.dirtyAll {
		views := make(map[string]GroupView, len(l.groups))
		for name, g := range l.groups {
			views[name] = g.view()
		}
		return views
	}
	views := maps.Clone(l.view.Load().Groups)
	for _, names := range []map[string]bool{l.dirty, l.stale} {
		for name := range names {
			if g, ok := l.groups[name]; ok {
				views[name] = g.view()
			}
		}
	}
	return views
}
