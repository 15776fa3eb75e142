package session

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// State is the state of one session. It is not safe for concurrent use.
type State struct {
	values   map[string]string
	prepared map[string]Prepared
	// Floor is the position of the session's last commit. Its reads must see at least
	// this position.
	Floor logpos.Position
	tx    *Transaction
	// bytes is the size of the texts in values and prepared.
	bytes int
}

// Transaction is an open transaction.
type Transaction struct {
	ReadOnly bool
	// Began is when the first byte of its begin statement arrived. Its reads must see
	// everything that was acknowledged before that time.
	Began time.Time
	// Failed means that only the statement that ends the transaction is accepted.
	Failed bool
	// Wrote means that a write of the transaction was sent to the endpoint.
	Wrote bool
}

// New returns the state of a new session.
func New() *State {
	return &State{values: make(map[string]string), prepared: make(map[string]Prepared)}
}

// Transaction returns the open transaction, or nil if there is none.
func (s *State) Transaction() *Transaction { return s.tx }

// Begin opens a transaction. It returns false if a transaction is already open.
func (s *State) Begin(readOnly bool, now time.Time) bool {
	if s.tx != nil {
		return false
	}
	s.tx = &Transaction{ReadOnly: readOnly, Began: now}
	return true
}

// End closes the transaction, if one is open.
func (s *State) End() { s.tx = nil }

// Set records a value that an endpoint has acknowledged.
func (s *State) Set(name, value string) {
	if old, ok := s.values[name]; ok {
		s.bytes -= len(name) + len(old)
	}
	s.values[name] = value
	s.bytes += len(name) + len(value)
}

// Prepare records a prepared statement that an endpoint has acknowledged.
func (s *State) Prepare(name, definition string, writes bool) {
	s.Deallocate(name)
	s.prepared[name] = Prepared{Definition: definition, Writes: writes}
	s.bytes += len(name) + len(definition)
}

// Deallocate removes a prepared statement.
func (s *State) Deallocate(name string) {
	if old, ok := s.prepared[name]; ok {
		s.bytes -= len(name) + len(old.Definition)
		delete(s.prepared, name)
	}
}

// Bytes returns the size of the session's values and prepared statements.
func (s *State) Bytes() int { return s.bytes }

// Entries returns the number of the session's values and prepared statements.
func (s *State) Entries() int { return len(s.values) + len(s.prepared) }

// Prepared returns the prepared statement with the name.
func (s *State) Prepared(name string) (Prepared, bool) {
	p, ok := s.prepared[name]
	return p, ok
}

// Values returns the session's values. The map must not be changed.
func (s *State) Values() map[string]string { return s.values }

// RecordCommit raises the floor to the position of a commit.
func (s *State) RecordCommit(p logpos.Position) { s.Floor = logpos.Max(s.Floor, p) }
