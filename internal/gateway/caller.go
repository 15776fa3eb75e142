package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/session"
)

// Caller is the connection of one caller, after its startup message.
type Caller interface {
	// Database is the name that the caller asked for.
	Database() string
	// Statement returns the next statement. It returns io.EOF when the caller ends
	// the session, and ErrInterrupted after Interrupt if no statement has begun.
	Statement() (session.Statement, error)
	// Reply answers the last statement, or the startup message if there was none.
	Reply(Reply) error
	// Refuse answers the startup message with an error.
	Refuse(Reply) error
	// Interrupt makes a waiting Statement return. It may be called from any
	// goroutine.
	Interrupt()
	// SetIdleDeadline bounds the wait for the next statement; zero waits for ever.
	SetIdleDeadline(time.Time)
	Close() error
}
