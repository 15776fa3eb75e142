// Package floors keeps, for each session of one group, the smallest position
// that the session's next read must see.
package floors

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Floors holds the floors of one group in one term. It is not safe for
// concurrent use.
type Floors struct {
	base     logpos.Position
	sessions map[string]logpos.Position
}

// New returns floors in which every session starts at the term's marker.
func New(marker logpos.Position) *Floors {
	return &Floors{base: marker, sessions: make(map[string]logpos.Position)}
}

// Raise records that the session wrote or read up to p. A floor never falls.
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

// Prune drops the floors that every endpoint serving reads has passed, and
// returns how many it dropped. applied is the smallest applied position of
// those endpoints. An endpoint may serve reads again only once it has applied
// at least the returned Base.
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

// Len returns the number of floors kept.
func (f *Floors) Len() int { return len(f.sessions) }
