package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

const (
	// dialTimeout limits the opening of a connection. A reachable endpoint answers the
	// handshake within milliseconds plus the time of at most one full queue.
	dialTimeout = 600 * time.Millisecond
	// tooManyConnectionsBackoff is the pause after an endpoint refused a connection
	// because its connection limit was reached.
	tooManyConnectionsBackoff = 300 * time.Millisecond
	// requeueAfter is how long a statement waits for one endpoint before the endpoint
	// is chosen again, since expected waits change as other endpoints lag or fail. It
	// is a few times the run time of a statement.
	requeueAfter = 60 * time.Millisecond
)

// Reasons for which no connection was available. The statement did not run.
var (
	errNoConnection = errors.New("no connection became free in time")
	errEndpointDown = errors.New("the endpoint cannot be reached")
	// errRequeue means that the calling function should choose an endpoint again.
	errRequeue = errors.New("no connection became free yet")
	// errNotStarted means that the endpoint may not get the statement any more, so that it was
	// not sent.
	errNotStarted = errors.New("the endpoint may not be used any more")
	// errLate means that the authorization of the statement has ended, so that it was not sent.
	errLate = errors.New("the statement has waited longer than its authorization lasts")
)

// pool opens connections to endpoints and lends them to sessions.
type pool struct {
	dialer  Dialer
	peers   PeerClient
	metrics *metrics.Registry
	guard   recovery.Guard
	// log and replacedLog are those of the event log.
	log, replacedLog zerolog.Logger
	// zone is this host's availability zone. zoneDistance is added to the expected
	// response time of endpoints in other zones.
	zone         string
	zoneDistance time.Duration
	parseStatus  StatusParser
	// adaptiveConcurrency is Config.AdaptiveConcurrency.
	adaptiveConcurrency bool
	// permittedUntil returns when this host's permission to use primaries ends.
	permittedUntil func() time.Time
	// drainBound is the time after which an endpoint that drains must get no new work.
	drainBound time.Duration
	// onFailure is called after failed dials and lost connections, and if an endpoint
	// answers with a newer term or a relay host does not reach the endpoint.
	onFailure func(t *target)
}

// primaryPermitted reports whether this host may use primaries at the given time.
func (p *pool) primaryPermitted(at time.Time) bool { return at.Before(p.permittedUntil()) }

// StatusParser parses the rows of the answer to a status request.
type StatusParser func(rows []string) (Status, error)

// connRequest describes the connection that a statement needs.
type connRequest struct {
	admission.QueuedRequest
	// team is the team that the connection must belong to; empty if it belongs to none.
	team string
	// share is the team's part of all work, from 0 to 1.
	share float64
	// database is the name of the database that the statement is for.
	database string
	// primaryOnly requests have no other endpoint to go to.
	primaryOnly bool
	// state is the state of the session; a connection that holds its values saves a round trip. It must
	// not change before checkout returns.
	state *session.State
}

// checkout returns a connection to the target that the session may use until release.
// The error is errNoConnection, errRequeue or errEndpointDown; in each case nothing has
// run.
func (p *pool) checkout(ctx context.Context, t *target, r connRequest) (*conn, error) {
	c, err := p.acquire(ctx, t, r)
	if err == nil {
		c.queuedRequest, c.database = r.QueuedRequest, r.database
	}
	return c, err
}

// acquire takes an idle connection, opens one, or waits for one.
func (p *pool) acquire(ctx context.Context, t *target, r connRequest) (*conn, error) {
	now := boottime.Now()
	got, w := t.grantOrQueue(now, r)
	if w == nil {
		return p.useGrant(ctx, t, r, got)
	}
	defer func() { p.metrics.Observe(metrics.LatencyConnection, boottime.Now().Sub(now)) }()
	return p.await(ctx, t, w)
}

// grantOrQueue grants the request a connection or the right to open one, refuses it, or adds
// it to the queue. It returns a waiter only in the last case.
func (t *target) grantOrQueue(now time.Time, r connRequest) (grant, *waiter) {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	if t.refuseEarly(now, r) {
		return grant{err: errNoConnection}, nil
	}
	if t.mayStart(now) {
		if got, ok := t.grantNow(r); ok {
			return got, nil
		}
	}
	if t.refusesToQueue(now, r) {
		return grant{err: errNoConnection}, nil
	}
	return grant{}, t.waiting.push(r)
}

// refusesToQueue reports whether a request that would have to wait for a connection is refused.
// The group's mutex must be held.
func (t *target) refusesToQueue(now time.Time, r connRequest) bool {
	return now.After(r.WaitDeadline()) || r.ShouldRefuse(now, t.queueWait(t.waiting.countAhead(r.QueuedRequest, now)))
}

// hasRoom reports whether the limit allows another connection, if the one that has been idle for
// longest is closed. The group's mutex must be held.
func (t *target) hasRoom() bool { return t.connCount()-min(len(t.idle), 1) < t.limit }

// grantNow grants an idle connection of the team, or the right to open one. It closes the
// connection that has been idle for longest if the limit leaves no room for another one. It
// returns false if every connection is in use. The group's mutex must be held.
func (t *target) grantNow(r connRequest) (grant, bool) {
	if c := t.takeIdle(r.state, r.team); c != nil {
		c.busy = true
		return grant{conn: c}, true
	}
	room := t.hasRoom()
	if t.connCount() >= t.limit && len(t.idle) > 0 {
		t.drop(t.idle[0])
		t.idle = t.idle[1:]
	}
	if !room {
		return grant{}, false
	}
	t.opening++
	return grant{mayOpen: true}, true
}

// await waits in the target's queue for a connection.
func (p *pool) await(ctx context.Context, t *target, w *waiter) (*conn, error) {
	timer := time.NewTimer(requeueAfter)
	defer timer.Stop()
	select {
	case got := <-w.ready:
		return p.useGrant(ctx, t, w.connRequest, got)
	case <-timer.C:
	case <-ctx.Done():
	}
	t.group.mu.Lock()
	removed := t.waiting.remove(w)
	t.group.mu.Unlock()
	if removed && ctx.Err() == nil {
		return nil, errRequeue
	}
	if removed {
		return nil, errNoConnection
	}
	got := <-w.ready
	if got.conn != nil {
		p.release(got.conn)
	}
	if got.mayOpen {
		p.cancelOpening(t)
	}
	return nil, errNoConnection
}

// useGrant returns the granted connection, or opens one if the grant allows it.
func (p *pool) useGrant(ctx context.Context, t *target, r connRequest, got grant) (*conn, error) {
	switch {
	case got.err != nil:
		return nil, got.err
	case got.mayOpen:
		return p.open(ctx, t, r)
	}
	return got.conn, nil
}

// takeIdle removes an idle connection of the team from the pool, preferably one whose session
// settings match s, otherwise the one that was used last. It returns nil if there is none. The
// group's mutex must be held.
func (t *target) takeIdle(s *session.State, team string) *conn {
	for {
		at, matches := -1, false
		for i, c := range t.idle {
			if c.team != team {
				continue
			}
			m := s != nil && c.state.Matches(s)
			if m || !matches {
				at, matches = i, m
			}
		}
		if at < 0 {
			return nil
		}
		c := t.idle[at]
		t.idle = append(t.idle[:at], t.idle[at+1:]...)
		if c.Alive() {
			return c
		}
		t.drop(c)
	}
}

// open opens a connection that is already counted in the target's opening field.
func (p *pool) open(ctx context.Context, t *target, r connRequest) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, relayAddress, err := p.dial(ctx, t, r)
	if err != nil {
		p.dialFailed(t, err)
		return nil, errors.WithSecondaryError(errEndpointDown, err)
	}
	c := &conn{Conn: raw, target: t, relayAddress: relayAddress, team: r.team, state: session.NewConnState()}
	t.group.mu.Lock()
	t.opening--
	t.conns[c] = true
	c.busy = true
	removed := t.removed
	t.group.mu.Unlock()
	if removed {
		c.broken = true
		p.release(c)
		return nil, errEndpointDown
	}
	return c, nil
}

// dial opens a connection to the endpoint. If the endpoint is reached through a relay
// host, dial also returns the relay's address.
func (p *pool) dial(ctx context.Context, t *target, r connRequest) (Conn, string, error) {
	t.group.mu.Lock()
	e, direct := t.Endpoint, !t.usesRelay()
	var relay string
	reachable := direct
	if !direct {
		relay, reachable = t.nextRelay(boottime.Now(), r)
	}
	t.group.mu.Unlock()
	switch {
	case !reachable:
		return nil, "", errEndpointDown
	case direct:
		p.metrics.Inc(metrics.ConnsOpened)
		conn, err := p.dialer.Dial(ctx, e, r.team)
		return conn, "", err
	}
	return p.peers.Relay(relay, e), relay, nil
}

// dialFailed records the failure to open a connection.
func (p *pool) dialFailed(t *target, err error) {
	now := boottime.Now()
	var refused *DialError
	isRefusal := errors.As(err, &refused)
	g := t.group
	g.mu.Lock()
	t.opening--
	switch {
	case isRefusal && refused.Code == CodeTooManyConnections:
		t.answeredAt = now
		if len(t.conns) == 0 {
			t.backoffUntil = now.Add(tooManyConnectionsBackoff)
		}
		t.limit = max(1, len(t.conns))
	default:
		t.recordFailure(now)
		t.failWaiting(errEndpointDown)
	}
	g.mu.Unlock()
	if !isRefusal || refused.Code != CodeTooManyConnections {
		p.onFailure(t)
	}
}

// failWaiting ends all waits for connections to the target with err. The group's mutex
// must be held.
func (t *target) failWaiting(err error) {
	for _, w := range t.waiting.waiters {
		w.ready <- grant{err: err}
	}
	t.waiting.waiters = nil
}

// cancelOpening returns an unused right to open a connection.
func (p *pool) cancelOpening(t *target) {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	t.opening--
	t.grantWaiters()
}

// release returns a connection to the pool, or closes it if it must not be reused.
func (p *pool) release(c *conn) {
	t := c.target
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.sentAt, c.usesPrimary, c.waiting = time.Time{}, false, false
	c.busy = false
	if c.broken || c.revoked || t.removed || len(t.conns) > t.limit || !t.mayReuse(c) {
		t.drop(c)
		t.grantWaiters()
		return
	}
	t.idle = append(t.idle, c)
	t.grantWaiters()
}

// releaseAfterPanic closes the connection if the calling function panics. It must be called
// by defer, while the connection belongs to the session. The connection may be released
// again afterwards.
func (p *pool) releaseAfterPanic(c *conn) {
	if value := recover(); value != nil {
		c.broken = true
		p.release(c)
		panic(value)
	}
}

// drop closes a connection and forgets it. The group's mutex must be held.
func (t *target) drop(c *conn) {
	delete(t.conns, c)
	c.Close()
}

// markIdleInTransaction records that the connection's transaction waits for the
// caller's next statement, so that the connection does not count against the window.
func (p *pool) markIdleInTransaction(c *conn) {
	t := c.target
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	c.busy = false
	t.grantWaiters()
}

// grantWaiters gives waiters a connection or the right to open one, as far as the
// window and the connection limit allow. The group's mutex must be held.
func (t *target) grantWaiters() {
	now := boottime.Now()
	for t.waiting.len() > 0 && t.mayStart(now) {
		w := t.waiting.first(now)
		got, ok := t.grantNow(w.connRequest)
		if !ok {
			return
		}
		t.waiting.remove(w)
		w.ready <- got
	}
}

// work describes a statement for the checks before it is sent.
type work struct {
	// primary work needs the primary.
	primary bool
	// newWork is false for the statements of an open transaction and for the proxy's own, which an
	// endpoint that is leaving still gets.
	newWork bool
	// needsProof is true if the endpoint must have answered on the connection shortly before.
	needsProof bool
	// startBy is the time by which the statement must be sent; zero if there is no limit.
	startBy time.Time
}

// run runs the request on the connection for a session and updates the endpoint's state
// from the answer. primary marks work that needs the primary; the mark stays on the
// connection until release. The returned duration is the time waited for the answer. The error
// is errNotStarted or errLate if the request must not be sent any more, errUnproven or
// errReplayRefused if it was not sent as its endpoint does not answer or refuses the session state, and
// errPrimaryReplaced if this host has given the request up for that reason.
func (p *pool) run(c *conn, primary bool, deadline time.Time, s *session.State, inTransaction bool, r Request) (Reply, time.Duration, error) {
	c.requestID = r.ID
	w := work{primary: primary, newWork: !inTransaction && !r.isCommand(), startBy: r.StartBy}
	w.needsProof = c.relayAddress == "" && r.needsProof(primary, inTransaction)
	replays := c.replays(s, inTransaction, r)
	if w.newWork && c.relayAddress == "" {
		p.countReplay(replays)
	}
	began, err := p.startStatement(c, w, w.needsProof || replays && !r.opensTransaction())
	if err != nil {
		return Reply{}, 0, err
	}
	confirm := func(asked time.Time) error {
		began, err = p.confirmStart(c, w, asked)
		if replays {
			p.metrics.Observe(metrics.LatencyReplay, boottime.Now().Sub(asked))
			replays = false
		}
		return err
	}
	reply, err := c.run(deadline, s, inTransaction, r, sendCheck{proof: w.needsProof, confirm: confirm})
	switch {
	case (errors.Is(err, errUnproven) || errors.Is(err, errReplayRefused)) && c.isRevoked():
		err = errors.WithSecondaryError(errNotStarted, err)
	case err != nil && c.isRevoked() && !notStarted(err):
		// The endpoint has not failed.
		err = errors.WithSecondaryError(errPrimaryReplaced, err)
	}
	p.statementEnded(c, began, &reply, err, r.After)
	p.observeLimit(c, began, r, &reply, err)
	return reply, boottime.Now().Sub(began), err
}

// countReplay counts a statement by whether its connection held the state of its session.
func (p *pool) countReplay(replays bool) {
	if replays {
		p.metrics.Inc(metrics.StateReplayed)
	} else {
		p.metrics.Inc(metrics.StateHeld)
	}
}

// isRevoked reports whether this host has closed the connection because its primary may be
// replaced.
func (c *conn) isRevoked() bool {
	c.target.group.mu.Lock()
	defer c.target.group.mu.Unlock()
	return c.revoked
}

// startStatement records that a statement is sent on the connection, and returns the time. It
// returns errNotStarted if the endpoint may not get the statement any more, although it was chosen,
// and errLate after startBy. If waits is true, only what must be answered before the statement is sent,
// and confirmStart follows.
//
// The check and the record are one step under the group's mutex. A fence, or the end of the
// permission, comes either before, so that nothing is sent, or after it, and then closes the
// connection; see closePrimaryWork.
func (p *pool) startStatement(c *conn, w work, waits bool) (time.Time, error) {
	g := c.target.group
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	if err := p.checkStart(c, now, w); err != nil {
		return now, err
	}
	c.recordStart(now, w.primary, waits)
	return now, nil
}

// checkStart returns an error if the statement must not be sent on the connection. The group's mutex
// must be held.
func (p *pool) checkStart(c *conn, now time.Time, w work) error {
	if !w.startBy.IsZero() && now.After(w.startBy) {
		return errLate
	}
	why := c.target.startExclusion(now, w.primary, w.newWork)
	if c.revoked {
		why = excludedRevoked
	}
	if why != notExcluded {
		p.logNotStarted(c, why)
		return errNotStarted
	}
	return nil
}

// logNotStarted counts and logs a statement that is not sent. The group's mutex must be held.
func (p *pool) logNotStarted(c *conn, why exclusion) {
	g := c.target.group
	p.metrics.Inc(metrics.StatementsNotStarted)
	p.replacedLog.Info().Str("request", c.requestID).Str("group", g.name).Str("endpoint", c.target.ID).Str("primary", g.primary).
		Uint64("term", g.term).Uint64("claim", g.fence.Version).Uint64("claim_term", g.fence.Term).
		Str("reason", string(why)).Msg("statement not sent, as its endpoint may not be used any more")
}

// recordStart records that a statement, or what must be answered before, is sent on the connection. The
// group's mutex must be held.
func (c *conn) recordStart(now time.Time, primary, waits bool) {
	c.sentAt, c.waiting = now, waits
	g := c.target.group
	c.usesPrimary, c.primaryTerm = primary, g.term
	if primary && !waits {
		g.lastPrimarySend = primarySend{at: now, endpoint: c.target.ID, term: g.term}
	}
	c.busy = true
	c.target.inFlight++
	c.inFlightAtSend = c.target.inFlight
}

// startExclusion returns why a statement for which the target was chosen must not be sent to it
// now. newWork is false for the statements of an open transaction and for the proxy's own, which an
// endpoint that is leaving still gets. The group's mutex must be held.
func (t *target) startExclusion(now time.Time, primary, newWork bool) exclusion {
	g := t.group
	if primary {
		if why := g.primaryExclusion(now); why != notExcluded {
			return why
		}
		if g.targets[g.primary] != t {
			return excludedNotPrimary
		}
	}
	switch {
	case newWork && t.removed:
		return excludedRemoved
	case newWork && t.drained(now):
		return excludedDrained
	}
	return notExcluded
}

// statementEnded records the answer to the statement that was sent at began, or that no
// answer came.
func (p *pool) statementEnded(c *conn, began time.Time, reply *Reply, err error, after logpos.Position) {
	now := boottime.Now()
	t := c.target
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil || notSent(err) {
		// Otherwise the request may still be on its way until the connection is closed.
		c.sentAt = time.Time{}
	}
	t.inFlight--
	c.waiting = false
	if errors.Is(err, errPrimaryReplaced) || notStarted(err) {
		return
	}
	if err != nil || !reply.FromRelay {
		took := now.Sub(began)
		g.health.Observe(t.ID, took, 0, err != nil || reply.Code == CodeFailed)
		g.health.Update(now)
	}
	if err != nil {
		return
	}
	if reply.FromRelay {
		if reply.Code == CodeMisrouted {
			// The relay host does not reach the endpoint either. The failure makes the
			// controller probe the endpoint.
			t.failures++
			t.relayFailed(now, c.relayAddress)
			// The next statement must not take this connection and meet the same host.
			c.broken = true
		}
		return
	}
	p.metrics.Observe(metrics.LatencyEndpoint, now.Sub(began))
	t.recordAnswer(now)
	if !reply.Code.NoEffect() {
		t.recordServiceTime(now.Sub(began))
	}
	if reply.Position.Term > g.term {
		p.onFailure(t)
	}
	if t.ID == g.primary {
		g.recordPrimaryPosition(began, reply.Position)
		return
	}
	if reply.Code == CodeLagging {
		t.lag.ObserveRefusal(now, after, g.staleness)
		return
	}
	t.lag.Observe(now, reply.Position, g.staleness)
}
