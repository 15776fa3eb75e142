package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// errReplay says that session state could not be replayed on a connection.
var errReplay = errors.New("the endpoint refused a statement that replays session state")

// conn is a pooled connection with what it holds of session state. Between
// checkout and release it belongs to one session.
type conn struct {
	// Conn is a RelayConn or an EndpointConn.
	Conn
	target *target
	// via is the address of the host through which a RelayConn goes.
	via   string
	state *session.ConnState
	// since is when the statement in flight was sent; zero if there is none. It is
	// guarded by the group's mutex.
	since time.Time
	// primaryUse marks a connection that is held for work on the primary.
	primaryUse bool
	// turn is the place of the work that the connection was taken for.
	turn admission.QueuedRequest
	// busy connections count against the target's window: from checkout to release, but
	// not while an open transaction rests between two statements.
	busy bool
	// broken connections are closed at release.
	broken bool
}

// run runs the request for the session, after what the connection lacks of the
// session's state. inTransaction is true if the connection's transaction is the
// session's.
func (c *conn) run(deadline time.Time, s *session.State, inTransaction bool, r Request) (Reply, error) {
	prepared, execute := s.Prepared(r.Name)
	execute = execute && r.Op == session.OpExecute
	if execute {
		r.Alias = prepared.Alias()
	}
	if relay, ok := c.Conn.(RelayConn); ok {
		return c.runRelayed(relay, deadline, s, prepared, execute, r)
	}
	replay := c.state.SwitchTo(s, inTransaction)
	if execute {
		replay = append(replay, c.state.PrepareIfMissing(prepared)...)
	}
	reply, err := c.call(c.Conn.(EndpointConn), deadline, replay, r)
	if err == nil && execute && reply.Code == CodeNoStatement {
		c.state.ForgetPrepared(prepared)
	}
	return reply, err
}

// runRelayed lets the host that holds the connection run the request.
func (c *conn) runRelayed(relay RelayConn, deadline time.Time, s *session.State, p session.Prepared, execute bool, r Request) (Reply, error) {
	work := RelayWork{Values: s.Values(), Request: r, Primary: c.primaryUse, Priority: c.turn.Priority, Objective: c.turn.TimeToObjective(boottime.Now())}
	if execute {
		work.Prepared = &p
	}
	reply, err := relay.Run(deadline, work)
	if err != nil {
		c.broken = true
	}
	return reply, err
}

// call replays the statements, sends the request, and returns its answer. An
// error means that the request may have run, unless nothing was sent.
func (c *conn) call(own EndpointConn, deadline time.Time, replay []session.Statement, r Request) (Reply, error) {
	requests := make([]Request, 0, len(replay)+1)
	for _, st := range replay {
		requests = append(requests, Request{Statement: st})
	}
	requests = append(requests, r)
	if err := own.Send(deadline, requests...); err != nil {
		c.broken = true
		return Reply{}, err
	}
	var refused error
	for range replay {
		reply, err := own.Receive(deadline)
		if err != nil {
			c.broken = true
			return Reply{}, err
		}
		if !reply.OK() {
			refused = errors.Wrapf(errReplay, "%s", reply.Detail)
		}
	}
	reply, err := own.Receive(deadline)
	if err == nil {
		err = refused
	}
	if err != nil {
		c.broken = true
	}
	return reply, err
}
