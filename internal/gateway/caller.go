package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/budget"
)

// Caller is the connection of one caller, after its startup message was read.
type Caller interface {
	// Database returns the name of the database that the caller asked for.
	Database() string
	// Key returns the key that identifies the caller; empty if it sent none. It must not be
	// logged.
	Key() string
	// Account is charged for what the caller's session keeps; nil if nothing limits it.
	Account() *budget.Account
	// NextStatement blocks until the next statement arrives. It returns io.EOF when the
	// caller ends the session, and ErrInterrupted if Interrupt was called or the idle
	// deadline passed before a statement arrived.
	NextStatement() (session.Statement, error)
	// Reply sends the answer to the last statement.
	Reply(Reply) error
	// Refuse answers the startup message with an error.
	Refuse(Reply) error
	// Interrupt makes a blocked NextStatement return. It may be called from any
	// goroutine.
	Interrupt()
	// SetIdleDeadline sets the deadline for the next statement; the zero time means no
	// deadline.
	SetIdleDeadline(time.Time)
	Close() error
}
