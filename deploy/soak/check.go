package soak

import (
	"fmt"
	"sync"
	"time"
)

// write is one write of a caller with how it ended.
type write struct {
	id, item string
	value    int
	// acknowledged is when the caller was told that it is kept.
	acknowledged time.Time
	// refused writes were promised to have had no effect.
	refused bool
}

// read is one successful read of a caller.
type read struct {
	id, item, session string
	value             int
	// freshAt is the time before which every acknowledged commit must be visible.
	freshAt time.Time
	// own is the last value that the session itself had acknowledged before.
	own int
}

// record collects what callers see. It may be used from any goroutine.
type record struct {
	mu     sync.Mutex
	writes []write
	reads  []read
	found  []string
	// done, refusals and others count answers.
	done, refusals, others int
}

// violation notes a broken promise.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.found = append(r.found, fmt.Sprintf(format, args...))
}

// wrote adds a write.
func (r *record) wrote(w write) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes = append(r.writes, w)
}

// saw adds a read.
func (r *record) saw(d read) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, d)
}

// answered counts an answer.
func (r *record) answered(ok, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case ok:
		r.done++
	case refused:
		r.refusals++
	default:
		r.others++
	}
}

// check compares what callers were told with what the endpoints hold.
func (r *record) check(g *group) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	found := r.found
	kept := make(map[string]bool)
	if leader := g.leader(); leader != nil {
		for _, c := range leader.log {
			for _, id := range c.ids {
				kept[id] = true
			}
		}
	}
	written := make(map[string]bool)
	byItem := make(map[string][]write)
	for _, w := range r.writes {
		written[w.id] = true
		acknowledged := !w.acknowledged.IsZero()
		switch {
		case acknowledged && g.deposed[w.id]:
			found = append(found, fmt.Sprintf("ONE: %s was acknowledged by a replaced primary", w.id))
		case acknowledged && !kept[w.id] && !g.discarded[w.id]:
			found = append(found, fmt.Sprintf("LOST: %s was acknowledged and is gone", w.id))
		case w.refused && g.stored[w.id] > 0:
			found = append(found, fmt.Sprintf("REFUSED: %s was refused and is stored", w.id))
		}
		if acknowledged && !g.discarded[w.id] {
			byItem[w.item] = append(byItem[w.item], w)
		}
	}
	for id, n := range g.stored {
		if n > 1 {
			found = append(found, fmt.Sprintf("TWICE: %s was committed %d times", id, n))
		}
		if !written[id] {
			found = append(found, fmt.Sprintf("UNASKED: %s was committed and not asked for", id))
		}
	}
	for _, d := range r.reads {
		for _, w := range byItem[d.item] {
			if w.value > d.value && (w.acknowledged.Before(d.freshAt) || w.value <= d.own) {
				found = append(found, fmt.Sprintf("STALE: %s of %s saw %d after %d (%s)", d.id, d.session, d.value, w.value, w.id))
				break
			}
		}
	}
	for i, p := range g.fences {
		if i > 0 && (p.fence < g.fences[i-1].fence || p.fence == g.fences[i-1].fence && p.holder != g.fences[i-1].holder) {
			found = append(found, fmt.Sprintf("ONE: fence %d of %s follows %d of %s", p.fence, p.holder, g.fences[i-1].fence, g.fences[i-1].holder))
		}
	}
	return found
}
