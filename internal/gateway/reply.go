package gateway

import "github.com/beryltrestle/beryltrestle/coord/logpos"

// Reply is the answer to one statement.
type Reply struct {
	Rows []string
	// Signature is the endpoint's proof that it ran the statement. It is empty for
	// statements that the proxy answers itself.
	Signature string
	Code      Code
	// RawCode is the endpoint's own code if Code is CodeOther.
	RawCode string
	Detail  string
	State   TxState
	// Position is the end of the endpoint's log; zero if the proxy answered.
	Position logpos.Position
	// FromRelay marks an error of the relay host; the endpoint has not received the
	// request.
	FromRelay bool
	// Dropped means that the statement ran, but the memory for clients did not suffice for
	// its answer, so that Rows is empty.
	Dropped bool
}

// OK reports whether the statement succeeded.
func (r *Reply) OK() bool { return r.Code == CodeNone }

// TxState is the state of the session's transaction after a statement.
type TxState uint8

// Transaction states.
const (
	TxIdle TxState = iota
	TxOpen
	TxFailed
)
