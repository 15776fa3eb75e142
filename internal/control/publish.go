package control

import (
	"iter"
	"maps"
)

// View implements Controller.
func (l *Loop) View() *View { return l.view.Load() }

// Changed implements Controller. A goroutine that takes the channel before it
// reads the View misses no change.
func (l *Loop) Changed() <-chan struct{} { return *l.viewChanged.Load() }

// publish makes the current state visible if it changed. A View shares its
// unchanged parts with the previous one, so that the cost of a poll does not
// depend on the number of pools.
func (l *Loop) publish() {
	if !l.allChanged && len(l.changedGroups) == 0 && len(l.repolledGroups) == 0 {
		return
	}
	old := l.view.Load()
	v := &View{Generation: l.generation, Manifest: l.document}
	if l.allChanged {
		v.Groups = NewGroups(l.views(maps.Keys(l.groups)))
	} else {
		v.Groups = old.Groups.withViews(l.views(l.changedPools()))
	}
	l.allChanged = false
	clear(l.changedGroups)
	clear(l.repolledGroups)
	l.view.Store(v)
	ch := make(chan struct{})
	close(*l.viewChanged.Swap(&ch))
}

// changedPools returns the pools that may differ from the last View.
func (l *Loop) changedPools() iter.Seq[string] {
	names := maps.Clone(l.changedGroups)
	maps.Copy(names, l.repolledGroups)
	return maps.Keys(names)
}

// views returns the current views of the pools that are still in the manifest.
func (l *Loop) views(pools iter.Seq[string]) map[string]GroupView {
	views := make(map[string]GroupView)
	for name := range pools {
		if g, ok := l.groups[name]; ok {
			views[name] = g.view()
		}
	}
	return views
}
