package session

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// State is the state of one session. It is not safe for concurrent use.
type State struct {
	values   map[string]string
	prepared map[string]Prepared
	// Floor is the position of the session's last commit.
	Floor logpos.Position
	tx    *Transaction
}

// Transaction is an open transaction.
type Transaction struct {
	ReadOnly bool
	// Began is when its first byte arrived: what was acknowledged before must be
	// visible to its reads.
	Began time.Time
	// Failed means that only its end is accepted.
	Failed bool
	// Wrote means that a write was sent to the endpoint.
	Wrote bool
}

// New returns the state of a session that has just begun.
func New() *State {
	return &State{values: make(map[string]string), prepared: make(map[string]Prepared)}
}

// Transaction returns the open transaction, or nil.
func (s *State) Transaction() *Transaction { return s.tx }

// Begin opens a transaction. It returns false if one is open.
func (s *State) Begin(readOnly bool, now time.Time) bool {
	if s.tx != nil {
		return false
	}
	s.tx = &Transaction{ReadOnly: readOnly, Began: now}
	return true
}

// End closes the transaction, if one is open.
func (s *State) End() { s.tx = nil }

// Set records an acknowledged value.
func (s *State) Set(name, value string) { s.values[name] = value }

// Prepare records an acknowledged prepared statement.
func (s *State) Prepare(name, definition string, writes bool) {
	s.prepared[name] = Prepared{Definition: definition, Writes: writes}
}

// Deallocate forgets a prepared statement.
func (s *State) Deallocate(name string) { delete(s.prepared, name) }

// Prepared returns the prepared statement of the name.
func (s *State) Prepared(name string) (Prepared, bool) {
	p, ok := s.prepared[name]
	return p, ok
}

// Values returns the session's values; the caller must not change the map.
func (s *State) Values() map[string]string { return s.values }

// RecordCommit raises the floor to the position of a commit.
func (s *State) RecordCommit(p logpos.Position) { s.Floor = logpos.Max(s.Floor, p) }
