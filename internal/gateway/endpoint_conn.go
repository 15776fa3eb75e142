package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/budget"
)

// Request is one statement for an endpoint.
type Request struct {
	session.Statement
	// Alias is the name under which the prepared statement is known on the endpoint;
	// empty for other statements.
	Alias string
	// After is the log position that the endpoint must have applied to run the
	// statement; zero for none.
	After logpos.Position
	// StartBy is the time by which the statement must be sent to the endpoint, as what allowed it
	// may not hold any longer; zero if there is no limit.
	StartBy time.Time
	// Account is charged for the answer; nil if no client does.
	Account *budget.Account
}

// isCommand reports whether the proxy itself asks for the endpoint's state, or changes it.
func (r Request) isCommand() bool { return r.Op == session.OpStatus || r.Op == session.OpDemote }

// opensTransaction reports whether the request begins a transaction on its connection.
func (r Request) opensTransaction() bool {
	return r.Op == session.OpBegin || r.Op == session.OpBeginRead
}

// Conn is a connection to an endpoint, either direct or through a relay host. Only
// Close may be called concurrently with another method.
type Conn interface {
	// Alive reports whether the idle connection is usable: the endpoint has not closed
	// it and has not sent unexpected data.
	Alive() bool
	// Close closes the connection. A request that has not reached the endpoint, because a
	// network partition holds it up, is lost: it does not arrive later.
	Close() error
}

// EndpointConn is a direct connection to an endpoint. Requests are answered in order.
type EndpointConn interface {
	Conn
	// Send writes all requests in one go.
	Send(deadline time.Time, requests ...Request) error
	// Receive returns the answer to the oldest unanswered request.
	Receive(deadline time.Time) (Reply, error)
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial connects to exactly this endpoint for the callers of a team; an empty team means
	// that the host connects for itself. If another endpoint has taken over the address, the
	// error has CodeMisrouted.
	Dial(ctx context.Context, e Endpoint, team string) (EndpointConn, error)
}

// DialError means that the endpoint refused the connection.
type DialError struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *DialError) Error() string { return "the endpoint refused the connection: " + e.Detail }
