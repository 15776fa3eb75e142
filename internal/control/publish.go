package control

import (
	"iter"
	"maps"
)

// View implements Controller.
func (l *Loop) View() *View { return l.view.Load() }

// Changed implements Controller. A caller that takes the channel before the
// View misses no change.
func (l *Loop) Changed() <-chan struct{} { return *l.changed.Load() }

// publish makes the current state visible if it changed. A View shares what did
// not change with the one before, so that the cost of a poll does not depend on
// the number of pools.
func (l *Loop) publish() {
	if !l.dirtyAll && len(l.dirty) == 0 && len(l.stale) == 0 {
		return
	}
	old := l.view.Load()
	v := &View{Generation: l.generation, Manifest: l.document}
	if l.dirtyAll {
		v.Groups = NewGroups(l.views(maps.Keys(l.groups)))
	} else {
		v.Groups = old.Groups.with(l.views(l.changedPools()))
	}
	l.dirtyAll = false
	clear(l.dirty)
	clear(l.stale)
	l.view.Store(v)
	ch := make(chan struct{})
	close(*l.changed.Swap(&ch))
}

// changedPools returns the pools that differ from the last View.
func (l *Loop) changedPools() iter.Seq[string] {
	names := maps.Clone(l.dirty)
	maps.Copy(names, l.stale)
	return maps.Keys(names)
}

// views returns the current views of those of the pools that the manifest holds.
func (l *Loop) views(pools iter.Seq[string]) map[string]GroupView {
	views := make(map[string]GroupView)
	for name := range pools {
		if g, ok := l.groups[name]; ok {
			views[name] = g.view()
		}
	}
	return views
}
