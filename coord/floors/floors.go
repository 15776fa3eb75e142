// Package floors keeps the floor of each session of one group: the smallest position
// that the session's next read must see.
package floors

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Floors holds the floors of one group in one term. It is not safe for
// concurrent use.
type Floors struct {
	base logpos.Position
	// sessions holds the floors that are above base.
	sessions map[string]logpos.Position
}

// New returns Floors in which the floor of every session is the term's marker.
func New(marker logpos.Position) *Floors {
	return &Floors{base: marker, sessions: make(map[string]logpos.Position)}
}

// Raise records that the session wrote or read up to p. It never lowers the floor.
func (f *Floors) Raise(session string, p logpos.Position) {
	if p.Compare(f.Floor(session)) > 0 {
		f.sessions[session] = p
	}
}

// Floor returns the position that the session's next read must see.
func (f *Floors) Floor(session string) logpos.Position {
	if p, ok := f.sessions[session]; ok {
		return p
	}
	return f.base
}

// Prune removes the floors that are not above applied, which becomes the base, and returns
// how many it removed. applied is the smallest position that all endpoints that serve
// reads have applied. Any other endpoint may serve reads only once it has applied Base.
func (f *Floors) Prune(applied logpos.Position) int {
	if f.base.Less(applied) {
		f.base = applied
	}
	n := 0
	for s, p := range f.sessions {
		if f.base.Covers(p) {
			delete(f.sessions, s)
			n++
		}
	}
	return n
}

// Base returns the floor of sessions that have none of their own.
func (f *Floors) Base() logpos.Position { return f.base }

// Len returns the number of sessions with a floor of their own.
func (f *Floors) Len() int { return len(f.sessions) }
