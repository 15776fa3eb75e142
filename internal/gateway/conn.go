package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
)

// errReplay says that session state could not be replayed on a connection.
var errReplay = errors.New("the endpoint refused a statement that replays session state")

// conn is a pooled connection with what it holds of session state. Between
// checkout and release it belongs to one session.
type conn struct {
	EndpointConn
	target *target
	state  *session.Replica
	// since is when the statement in flight was sent; zero if there is none. It is
	// guarded by the group's mutex.
	since time.Time
	// primaryUse marks a connection that is held for work on the primary.
	primaryUse bool
	// broken connections are closed at release.
	broken bool
}

// call replays the statements, sends the request, and returns its answer. An
// error means that the request may have run, unless nothing was sent.
func (c *conn) call(deadline time.Time, replay []session.Statement, r Request) (Reply, error) {
	requests := make([]Request, 0, len(replay)+1)
	for _, st := range replay {
		requests = append(requests, Request{Statement: st})
	}
	requests = append(requests, r)
	if err := c.Send(deadline, requests...); err != nil {
		c.broken = true
		return Reply{}, err
	}
	var refused error
	for range replay {
		reply, err := c.Receive(deadline)
		if err != nil {
			c.broken = true
			return Reply{}, err
		}
		if !reply.OK() {
			refused = errors.Wrapf(errReplay, "%s", reply.Detail)
		}
	}
	reply, err := c.Receive(deadline)
	if err == nil {
		err = refused
	}
	if err != nil {
		c.broken = true
	}
	return reply, err
}
