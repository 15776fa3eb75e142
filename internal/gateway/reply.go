package gateway

import (
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

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
	// FromRelay marks an error of the relay host. The endpoint has not received the request,
	// unless Ran is set.
	FromRelay bool
	// Ran means that the endpoint ran the statement although Code is an error of a host.
	Ran bool
	// Dropped means that the memory for clients did not suffice for the statement or its
	// answer, so that Rows is empty. The statement ran unless Code says otherwise. It is not
	// sent between hosts.
	Dropped bool
}

// WithoutRows returns the error for a statement that ran but whose answer could not be kept.
// Nothing of a read is kept, and an open transaction must be rolled back by the calling
// function. A write outside a transaction, and a commit, cannot be undone.
func (r Reply) WithoutRows(request Request, inTransaction bool) Reply {
	out := Reply{Code: CodeBusy, Detail: string(metrics.RefusedMemory), State: r.State, Position: r.Position, Dropped: true, Ran: true}
	switch {
	case request.Op == session.OpCommit || request.Writes && !inTransaction:
		out.Code = CodeInDoubt
	case inTransaction:
		out.Code = CodeAborted
	}
	return out
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
