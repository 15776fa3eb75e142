package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// dialTimeout bounds the opening of a connection. An endpoint that is reachable
	// answers the handshake in milliseconds, behind at most a full queue.
	dialTimeout = 600 * time.Millisecond
	// tooManyBackoff is the pause after an endpoint refused a connection over its
	// limit.
	tooManyBackoff = 300 * time.Millisecond
	// requeueAfter is how long a statement waits at one endpoint before it chooses
	// again: the expected waits change as others lag or fail. It is a few times a
	// statement's run.
	requeueAfter = 60 * time.Millisecond
)

// Reasons for which no connection was had; the work did not run.
var (
	errNoConnection = errors.New("no connection became free in time")
	errEndpointDown = errors.New("the endpoint cannot be reached")
	// errRequeue says that the statement should look for a better endpoint.
	errRequeue = errors.New("no connection became free yet")
)

// pool opens connections and hands them to sessions.
type pool struct {
	dialer  Dialer
	relays  Peers
	metrics *metrics.Registry
	// zone is this host's availability zone; zoneDistance is added to the expected
	// time of endpoints in others.
	zone         string
	zoneDistance time.Duration
	parse        StatusParser
	// permitted reports whether primaries may be used at the time.
	permitted func(time.Time) bool
	// onFailure is told of failed dials and lost connections.
	onFailure func(t *target)
}

// StatusParser reads the rows of a status answer.
type StatusParser func(rows []string) (Status, error)

// checkout returns a connection of the target that the session may use until
// release. The errors are errNoConnection, errRequeue and errEndpointDown; none of
// them has run anything.
func (p *pool) checkout(ctx context.Context, t *target, s *session.State, turn admission.QueuedRequest) (*conn, error) {
	c, err := p.take(ctx, t, s, turn)
	if err == nil {
		c.turn = turn
	}
	return c, err
}

// take waits for a connection or opens one.
func (p *pool) take(ctx context.Context, t *target, s *session.State, turn admission.QueuedRequest) (*conn, error) {
	now := boottime.Now()
	g := t.group
	g.mu.Lock()
	if t.mayStart(now) {
		if c := t.takeIdle(s); c != nil {
			c.busy = true
			g.mu.Unlock()
			return c, nil
		}
		if t.open() < t.limit {
			t.opening++
			g.mu.Unlock()
			return p.open(ctx, t)
		}
	}
	if now.After(turn.WaitDeadline()) || turn.ShouldRefuse(now, t.queueWait(t.waiting.ahead(turn, now))) {
		g.mu.Unlock()
		return nil, errNoConnection
	}
	w := t.waiting.push(turn)
	g.mu.Unlock()
	defer func() { p.metrics.Observe(metrics.LatencyConnection, boottime.Now().Sub(now)) }()
	return p.await(ctx, t, w)
}

// await waits for a connection in the target's queue.
func (p *pool) await(ctx context.Context, t *target, w *waiter) (*conn, error) {
	timer := time.NewTimer(requeueAfter)
	defer timer.Stop()
	select {
	case got := <-w.ready:
		return p.granted(ctx, t, got)
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
	if got.open {
		p.openingEnded(t)
	}
	return nil, errNoConnection
}

// granted turns a grant into a connection.
func (p *pool) granted(ctx context.Context, t *target, got grant) (*conn, error) {
	switch {
	case got.err != nil:
		return nil, got.err
	case got.open:
		return p.open(ctx, t)
	}
	return got.conn, nil
}

// takeIdle removes an idle connection, preferring one that holds the session's
// values. The group's mutex must be held.
func (t *target) takeIdle(s *session.State) *conn {
	for len(t.idle) > 0 {
		at := len(t.idle) - 1
		for i, c := range t.idle {
			if s != nil && c.state.Matches(s) {
				at = i
			}
		}
		c := t.idle[at]
		t.idle = append(t.idle[:at], t.idle[at+1:]...)
		if c.Alive() {
			return c
		}
		t.drop(c)
	}
	return nil
}

// open opens a connection for which the target's counter was raised.
func (p *pool) open(ctx context.Context, t *target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, via, err := p.dial(ctx, t)
	if err != nil {
		p.dialFailed(t, err)
		return nil, errors.WithSecondaryError(errEndpointDown, err)
	}
	c := &conn{Conn: raw, target: t, via: via, state: session.NewConnState()}
	t.group.mu.Lock()
	t.opening--
	t.conns[c] = true
	c.busy = true
	gone := t.gone
	t.group.mu.Unlock()
	if gone {
		c.broken = true
		p.release(c)
		return nil, errEndpointDown
	}
	return c, nil
}

// dial opens a connection to the endpoint, or through another host, whose address it
// returns.
func (p *pool) dial(ctx context.Context, t *target) (Conn, string, error) {
	t.group.mu.Lock()
	e, direct := t.Endpoint, !t.throughOthers()
	var via string
	reachable := direct
	if !direct {
		via, reachable = t.via(boottime.Now())
	}
	t.group.mu.Unlock()
	switch {
	case !reachable:
		return nil, "", errEndpointDown
	case direct:
		p.metrics.Inc(metrics.ConnsOpened)
		conn, err := p.dialer.Dial(ctx, e)
		return conn, "", err
	}
	return p.relays.Relay(via, e), via, nil
}

// dialFailed records why no connection could be opened.
func (p *pool) dialFailed(t *target, err error) {
	now := boottime.Now()
	var refused *DialError
	isRefusal := errors.As(err, &refused)
	g := t.group
	g.mu.Lock()
	t.opening--
	switch {
	case isRefusal && refused.Code == CodeTooMany:
		t.answered = now
		if len(t.conns) == 0 {
			t.downUntil = now.Add(tooManyBackoff)
		}
		t.limit = max(1, len(t.conns))
	default:
		t.failed(now)
		t.failWaiting(errEndpointDown)
	}
	g.mu.Unlock()
	if !isRefusal || refused.Code != CodeTooMany {
		p.onFailure(t)
	}
}

// failWaiting ends all waits, as the endpoint cannot be reached. The group's mutex
// must be held.
func (t *target) failWaiting(err error) {
	for _, w := range t.waiting.items {
		w.ready <- grant{err: err}
	}
	t.waiting.items = nil
}

// openingEnded gives up the right to open a connection.
func (p *pool) openingEnded(t *target) {
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	t.opening--
	t.wake()
}

// release returns a connection after its work.
func (p *pool) release(c *conn) {
	t := c.target
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.since, c.primaryUse = time.Time{}, false
	c.busy = false
	_, relay := c.Conn.(RelayConn)
	if c.broken || t.gone || len(t.conns) > t.limit || relay != t.throughOthers() {
		t.drop(c)
		t.wake()
		return
	}
	t.idle = append(t.idle, c)
	t.wake()
}

// drop closes a connection. The group's mutex must be held.
func (t *target) drop(c *conn) {
	delete(t.conns, c)
	c.Close()
}

// rest marks that the connection's transaction waits for its caller, so that other work
// may use the endpoint meanwhile.
func (p *pool) rest(c *conn) {
	t := c.target
	t.group.mu.Lock()
	defer t.group.mu.Unlock()
	c.busy = false
	t.wake()
}

// wake gives waiters a connection or the right to open one, as far as the window and the
// connections go. The group's mutex must be held.
func (t *target) wake() {
	now := boottime.Now()
	for t.waiting.len() > 0 && t.mayStart(now) {
		if c := t.takeIdle(nil); c != nil {
			c.busy = true
			t.waiting.pop(now).ready <- grant{conn: c}
			continue
		}
		if t.open() >= t.limit {
			return
		}
		t.opening++
		t.waiting.pop(now).ready <- grant{open: true}
	}
}

// run runs the request on the connection for a session, and records what its answer
// shows of the endpoint. primary marks work that needs the primary; the connection
// keeps the mark until it is released. It also returns how long the answer was
// awaited.
func (p *pool) run(c *conn, primary bool, deadline time.Time, s *session.State, inTransaction bool, r Request) (Reply, time.Duration, error) {
	began := p.begin(c, primary)
	reply, err := c.run(deadline, s, inTransaction, r)
	p.end(c, began, &reply, err, r.After)
	return reply, boottime.Now().Sub(began), err
}

// begin marks a statement as sent on the connection.
func (p *pool) begin(c *conn, primary bool) time.Time {
	now := boottime.Now()
	g := c.target.group
	g.mu.Lock()
	c.since = now
	c.primaryUse = primary
	c.busy = true
	c.target.inFlight++
	g.mu.Unlock()
	return now
}

// end records the answer to the statement that began, or its loss.
func (p *pool) end(c *conn, began time.Time, reply *Reply, err error, after logpos.Position) {
	now := boottime.Now()
	t := c.target
	g := t.group
	g.mu.Lock()
	defer g.mu.Unlock()
	c.since = time.Time{}
	t.inFlight--
	if err != nil || !reply.ByHolder {
		took := now.Sub(began)
		g.health.Observe(t.ID, took, 0, err != nil || reply.Code == CodeFailed)
		g.health.Update(now)
	}
	if err != nil {
		return
	}
	if reply.ByHolder {
		if reply.Code == CodeMisrouted {
			// The holder does not reach the endpoint either; a probe is due.
			t.failures++
			t.holderFailed(now, c.via)
		}
		return
	}
	p.metrics.Observe(metrics.LatencyEndpoint, now.Sub(began))
	t.succeeded(now)
	if !reply.Code.NotRun() {
		t.ran(now.Sub(began))
	}
	if reply.Position.Term > g.term {
		p.onFailure(t)
	}
	if t.ID == g.primary {
		g.sample(began, reply.Position)
		return
	}
	if reply.Code == CodeLagging {
		t.lag.ObserveRefusal(now, after, g.staleness)
		return
	}
	t.lag.Observe(now, reply.Position, g.staleness)
}
