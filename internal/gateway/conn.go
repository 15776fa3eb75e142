package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// errReplayRefused means that the session state could not be replayed on a connection, so that the
// statement was not sent.
var errReplayRefused = errors.New("the endpoint refused a statement that replays session state")

// maxConnStateBytes limits the session state on a connection that returns to the pool. The
// connection keeps the texts after their session has ended: one session may have 32 MiB, and an
// endpoint more than 100 connections.
const maxConnStateBytes = 256 << 10

// conn is a pooled connection and the session state that is set on it. From checkout to
// release it belongs to one session.
type conn struct {
	// Conn is a RelayConn or an EndpointConn.
	Conn
	target *target
	// relayAddress is the address of the relay host if Conn is a RelayConn, otherwise
	// empty.
	relayAddress string
	// team is the team that the connection belongs to; empty if it belongs to none.
	team  string
	state *session.ConnState
	// sentAt is when the statement in flight was sent; zero if there is none. The
	// group's mutex guards it.
	sentAt time.Time
	// waiting is true while the statement in flight waits for the answer to a proof or to the replay of
	// session state, and has not been sent itself. The group's mutex guards it.
	waiting bool
	// requestID is the ID of the statement in flight, for the log. Other goroutines read it only
	// while sentAt is set.
	requestID string
	// usesPrimary is true while the connection is used for work that needs the primary, of the
	// term primaryTerm. The group's mutex guards both.
	usesPrimary bool
	primaryTerm uint64
	// queuedRequest is the request that the connection was checked out for.
	queuedRequest admission.QueuedRequest
	// database is the name of the database that the connection was checked out for.
	database string
	// inFlightAtSend is the number of this host's statements in flight to the endpoint
	// when the last one was sent on the connection, including it. The group's mutex guards
	// it.
	inFlightAtSend int
	// busy connections count against the target's window: from checkout to release,
	// except while an open transaction is idle between two statements.
	busy bool
	// broken connections are closed at release.
	broken bool
	// revoked is true once the connection was closed because its primary may be replaced. The
	// group's mutex guards it.
	revoked bool
}

// sendCheck is what must hold before a request is sent.
type sendCheck struct {
	// proof is true if the endpoint must have answered on the connection shortly before.
	proof bool
	// confirm is called, with the time of the question, after each wait for an answer that precedes
	// the request. If it returns an error the request is not sent.
	confirm func(asked time.Time) error
}

// run runs the request for the session, after it has replayed missing session state on
// the connection. inTransaction is true if the open transaction on the connection is
// the session's.
func (c *conn) run(deadline time.Time, s *session.State, inTransaction bool, r Request, check sendCheck) (Reply, error) {
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
	reply, err := c.replayAndRun(c.Conn.(EndpointConn), deadline, replay, r, check)
	if c.state.Bytes() > maxConnStateBytes {
		// The connection is not used for another session.
		c.broken = true
	}
	if err == nil && execute && reply.Code == CodeNoStatement {
		c.state.ForgetPrepared(prepared)
	}
	return reply, err
}

// replays reports whether run replays session state before the request.
func (c *conn) replays(s *session.State, inTransaction bool, r Request) bool {
	if c.relayAddress != "" {
		return false
	}
	prepared, ok := s.Prepared(r.Name)
	return ok && r.Op == session.OpExecute && !c.state.IsPrepared(prepared) || c.state.Lacks(s, inTransaction)
}

// runRelayed sends the request with the session state to the relay host, which runs it.
func (c *conn) runRelayed(relay RelayConn, deadline time.Time, s *session.State, p session.Prepared, execute bool, r Request) (Reply, error) {
	request := RelayRequest{Team: c.team, Database: c.database, SessionValues: s.Values(), Request: r, PrimaryOnly: c.usesPrimary, Priority: c.queuedRequest.Priority, TimeToObjective: c.queuedRequest.TimeToObjective(boottime.Now())}
	if !r.StartBy.IsZero() {
		request.StartWithin = max(r.StartBy.Sub(boottime.Now()), 1)
	}
	if execute {
		request.Prepared = &p
	}
	reply, err := relay.Run(deadline, request)
	if err != nil {
		c.broken = true
	}
	return reply, err
}

// replayAndRun sends the replay statements and the request, and returns the answer to
// the request. After an error that is not of notSent the request may have run.
//
// The request follows only once the endpoint has accepted the session state: an endpoint that
// refuses a replay statement would run it with the state of another session. BEGIN has no effect
// before the next statement and does not wait, which saves a round trip.
func (c *conn) replayAndRun(endpoint EndpointConn, deadline time.Time, replay []session.Statement, r Request, check sendCheck) (Reply, error) {
	requests := make([]Request, 0, len(replay)+1)
	for _, st := range replay {
		requests = append(requests, Request{Statement: st})
	}
	if check.proof || len(replay) > 0 && !r.opensTransaction() {
		if err := c.prepareToSend(endpoint, deadline, requests, check); err != nil {
			return Reply{}, err
		}
		requests = requests[:0]
	}
	reply, err := c.exchange(endpoint, deadline, append(requests, r))
	if err != nil {
		c.broken = true
	}
	return reply, err
}

// exchange sends the requests and returns the answer to the last one. If the endpoint refuses
// another one, the error is errReplayRefused.
func (c *conn) exchange(endpoint EndpointConn, deadline time.Time, requests []Request) (Reply, error) {
	if err := endpoint.Send(deadline, requests...); err != nil {
		return Reply{}, err
	}
	var refused error
	for range requests[1:] {
		reply, err := endpoint.Receive(deadline)
		if err != nil {
			return Reply{}, err
		}
		if !reply.OK() {
			refused = replayRefused(reply)
		}
	}
	reply, err := endpoint.Receive(deadline)
	if err == nil {
		err = refused
	}
	return reply, err
}

// replayRefused returns the error for an endpoint's refusal of a replay statement.
func replayRefused(reply Reply) error { return errors.Wrapf(errReplayRefused, "%s", reply.Detail) }
