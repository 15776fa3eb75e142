package gateway

import (
	"context"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/session"
)

// Request is one statement for an endpoint.
type Request struct {
	session.Statement
	// Alias replaces the prepared statement's name, if set.
	Alias string
	// After is the position that the endpoint must hold; zero asks for none.
	After logpos.Position
}

// Conn is a connection to an endpoint, of this host or of another. Only Close may
// be called while another call runs.
type Conn interface {
	// Alive reports whether the idle connection is neither closed by the endpoint
	// nor holds unexpected data.
	Alive() bool
	Close() error
}

// EndpointConn is a connection of this host. Requests are answered in order.
type EndpointConn interface {
	Conn
	// Send writes the requests at once.
	Send(deadline time.Time, requests ...Request) error
	// Receive returns the answer to the oldest request without one.
	Receive(deadline time.Time) (Reply, error)
}

// Dialer opens connections to endpoints.
type Dialer interface {
	// Dial returns a connection to this endpoint and no other: an endpoint that
	// took over the address is reported as CodeMisrouted.
	Dial(ctx context.Context, e Endpoint) (EndpointConn, error)
}

// DialError says that the endpoint refused the connection.
type DialError struct {
	Code   Code
	Detail string
}

// Error implements error.
func (e *DialError) Error() string { return "the endpoint refused the connection: " + e.Detail }
