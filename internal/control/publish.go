package control

import "maps"

// View implements Controller.
func (l *Loop) View() *View { return l.view.Load() }

// Changed implements Controller. A caller that takes the channel before the
// View misses no change.
func (l *Loop) Changed() <-chan struct{} { return *l.changed.Load() }

// publish makes the current state visible if it changed.
func (l *Loop) publish() {
	if !l.dirtyAll && len(l.dirty) == 0 {
		return
	}
	old := l.view.Load()
	v := &View{Generation: l.generation, Manifest: l.document}
	if l.dirtyAll {
		v.Groups = make(map[string]GroupView, len(l.groups))
		for name, g := range l.groups {
			v.Groups[name] = g.view()
		}
	} else {
		v.Groups = maps.Clone(old.Groups)
		for name := range l.dirty {
			if g, ok := l.groups[name]; ok {
				v.Groups[name] = g.view()
			}
		}
	}
	l.dirtyAll = false
	clear(l.dirty)
	l.view.Store(v)
	ch := make(chan struct{})
	close(*l.changed.Swap(&ch))
}
