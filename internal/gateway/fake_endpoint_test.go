package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
)

// commit is one entry of a fake group's log.
type commit struct {
	position logpos.Position
	id, item string
	data     string
}

// fakeEndpoint is one endpoint of a fakeGroup. The group's mutex guards it.
type fakeEndpoint struct {
	id      string
	primary bool
	term    uint64
	log     []commit
	down    bool
	// notReplicating replicas do not receive the log.
	notReplicating bool
	// busyForStatus endpoints reject status requests.
	busyForStatus bool
	// refuses returns whether the endpoint fails a request without an effect, unless it is nil.
	refuses func(r gateway.Request) bool
	// loseAnswer closes the connection after the next write has run, without an answer.
	loseAnswer bool
	conns      map[*fakeConn]bool
	// dialTime and runTime return how long the endpoint takes to accept a connection and to run
	// a caller's statement, unless they are nil.
	dialTime, runTime func() time.Duration
	// arrivedAt is when the request that runs now has reached the endpoint.
	arrivedAt time.Time
}

func (e *fakeEndpoint) position() logpos.Position {
	if len(e.log) == 0 {
		return logpos.Position{Term: e.term}
	}
	return e.log[len(e.log)-1].position
}

// fakeGroup is a database group in memory. It also acts as the platform's promoter.
type fakeGroup struct {
	mu        sync.Mutex
	name      string
	endpoints map[string]*fakeEndpoint
	// cut holds "host endpoint" pairs that cannot reach each other.
	cut map[string]bool
	// promotions lists the ordered promotions as "holder fence endpoint".
	promotions []string
	// promoterError is returned by Reachable; promotions are refused while it is set.
	promoterError error
	// side assigns endpoints to network partitions: a primary sends its log only to endpoints
	// with the same number.
	side map[string]int
	// latency is how long each request takes. onRun is called before an endpoint runs a
	// request, and onCommit after one has committed, with the mutex held, unless they are nil.
	latency  time.Duration
	onRun    func(host string, e *fakeEndpoint, r gateway.Request)
	onCommit func(e *fakeEndpoint)
	// onStatement is called before an endpoint runs a caller's statement, with the session state of the
	// connection and the mutex held, unless it is nil.
	onStatement func(c *fakeConn, r gateway.Request)
	// replacedPrimaryWrites counts writes that a primary committed after a newer one was
	// promoted.
	replacedPrimaryWrites int
}

func newFakeGroup(name string, ids ...string) *fakeGroup {
	g := &fakeGroup{name: name, endpoints: make(map[string]*fakeEndpoint), cut: make(map[string]bool), side: make(map[string]int)}
	for i, id := range ids {
		g.endpoints[id] = &fakeEndpoint{id: id, term: 1, primary: i == 0, conns: make(map[*fakeConn]bool)}
	}
	return g
}

// Reachable implements gateway.Promoter.
func (g *fakeGroup) Reachable(context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.promoterError
}

// Promote implements gateway.Promoter.
func (g *fakeGroup) Promote(_ context.Context, order gateway.Promotion) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[order.Endpoint]
	if e == nil || e.down || g.promoterError != nil {
		return gateway.ErrPromotionRefused
	}
	g.promotions = append(g.promotions, fmt.Sprintf("%s %d %s", order.Holder, order.Fence, order.Endpoint))
	newest := e.term
	for _, other := range g.endpoints {
		newest = max(newest, other.term)
	}
	if e.primary && e.term == newest {
		return nil
	}
	e.term = newest + 1
	e.primary = true
	for _, other := range g.endpoints {
		if other != e && !other.primary && !other.notReplicating && g.side[other.id] == g.side[e.id] {
			other.log, other.term = append([]commit(nil), e.log...), e.term
		}
	}
	return nil
}

// stop takes the endpoint down and breaks its connections.
func (g *fakeGroup) stop(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.endpoints[id]
	e.down = true
	for c := range e.conns {
		c.dead = true
	}
}

// setCut cuts or restores the network path between a host and an endpoint.
func (g *fakeGroup) setCut(host, endpoint string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[host+" "+endpoint] = cut
}

// hasWrite reports whether the endpoint's log contains the write.
func (g *fakeGroup) hasWrite(endpoint, id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.endpoints[endpoint].log {
		if c.id == id {
			return true
		}
	}
	return false
}

// primary returns the primary of the newest term, or nil. The mutex must be held.
func (g *fakeGroup) primary() *fakeEndpoint {
	var best *fakeEndpoint
	for _, e := range g.endpoints {
		if e.primary && (best == nil || e.term > best.term) {
			best = e
		}
	}
	return best
}

// noPrimary is returned by primaryID while no endpoint is primary, after a demotion.
const noPrimary = ""

// primaryID returns the ID of the primary of the newest term, or noPrimary.
func (g *fakeGroup) primaryID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e := g.primary(); e != nil {
		return e.id
	}
	return noPrimary
}

// fakeDialer connects one host to the endpoints of a fakeGroup.
type fakeDialer struct {
	host  string
	group *fakeGroup
}

// isCut reports whether the path to the endpoint is cut.
func (d *fakeDialer) isCut(endpoint string) bool {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	return d.group.cut[d.host+" "+endpoint]
}

// Dial implements gateway.Dialer. To an endpoint with a dialTime it waits until the path is back.
func (d *fakeDialer) Dial(ctx context.Context, e gateway.Endpoint, team string) (gateway.EndpointConn, error) {
	d.group.mu.Lock()
	defer d.group.mu.Unlock()
	t := d.group.endpoints[e.ID]
	if dialTime := t.dialTime; dialTime != nil {
		d.group.mu.Unlock()
		for wait := dialTime(); ctx.Err() == nil && (wait > 0 || d.isCut(e.ID)); wait -= time.Millisecond {
			time.Sleep(time.Millisecond)
		}
		d.group.mu.Lock()
	}
	if t.down || d.group.cut[d.host+" "+e.ID] || ctx.Err() != nil {
		return nil, errors.New("unreachable")
	}
	c := &fakeConn{host: d.host, team: team, group: d.group, endpoint: t, values: map[string]string{}, prepared: map[string]string{}, closed: make(chan struct{})}
	t.conns[c] = true
	return c, nil
}

// fakeConn is a connection to a fake endpoint.
type fakeConn struct {
	host string
	team string
	// ranCaller is true once a statement of a caller has run.
	ranCaller bool
	group     *fakeGroup
	endpoint  *fakeEndpoint
	dead      bool
	values    map[string]string
	prepared  map[string]string
	queue     []*sentRequest
	closed    chan struct{}
	// inTx, failed and pending are the state of the open transaction.
	inTx, readOnly, failed bool
	pending                []commit
}

// sentRequest is a request that was sent on a fakeConn. done is closed when its answer or the
// error is known.
type sentRequest struct {
	gateway.Request
	reply gateway.Reply
	err   error
	done  chan struct{}
}

// Send implements gateway.EndpointConn.
func (c *fakeConn) Send(_ time.Time, requests ...gateway.Request) error {
	var sent []*sentRequest
	for _, r := range requests {
		sent = append(sent, &sentRequest{Request: r, done: make(chan struct{})})
	}
	c.queue = append(c.queue, sent...)
	go c.deliver(sent)
	return nil
}

// deliver brings the requests to the endpoint, runs them there and brings the answers back.
// Requests that have reached the endpoint run even if the connection is closed afterwards.
func (c *fakeConn) deliver(requests []*sentRequest) {
	sentAt := time.Now()
	time.Sleep(c.group.latency)
	err := c.awaitPath(sentAt)
	arrivedAt := time.Now()
	for i, r := range requests {
		if i > 0 {
			time.Sleep(c.group.latency)
		}
		if r.err = err; err == nil {
			r.reply, r.err = c.run(r.Request, arrivedAt)
		}
	}
	answeredAt := time.Now()
	for _, r := range requests {
		if r.err == nil {
			r.err = c.awaitPath(answeredAt)
		}
		close(r.done)
	}
}

// unacknowledgedTimeout is how long the network goes on trying to deliver what was sent.
const unacknowledgedTimeout = permission.Duration

// awaitPath waits until the host and the endpoint can reach each other. It returns an error if
// the connection ends before, or is given up because what was sent at the given time has not
// arrived for too long.
func (c *fakeConn) awaitPath(sentAt time.Time) error {
	for ; ; time.Sleep(time.Millisecond) {
		c.group.mu.Lock()
		dead, cut := c.dead, c.group.cut[c.host+" "+c.endpoint.id]
		c.group.mu.Unlock()
		switch {
		case dead:
			return net.ErrClosed
		case !cut:
			return nil
		case time.Since(sentAt) >= unacknowledgedTimeout:
			return timeoutError{}
		}
	}
}

// run runs a request that has reached the endpoint.
func (c *fakeConn) run(request gateway.Request, arrivedAt time.Time) (gateway.Reply, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if runTime := c.endpoint.runTime; runTime != nil && request.ID != "" {
		c.group.mu.Unlock()
		time.Sleep(runTime())
		c.group.mu.Lock()
	}
	c.ranCaller = c.ranCaller || request.ID != ""
	if c.endpoint.down {
		return gateway.Reply{}, net.ErrClosed
	}
	c.endpoint.arrivedAt = arrivedAt
	if c.group.onRun != nil {
		c.group.onRun(c.host, c.endpoint, request)
	}
	reply := c.answer(request)
	reply.Position = c.endpoint.position()
	reply.State = gateway.TxIdle
	switch {
	case c.inTx && c.failed:
		reply.State = gateway.TxFailed
	case c.inTx:
		reply.State = gateway.TxOpen
	}
	if c.endpoint.loseAnswer && request.Op == session.OpWrite {
		c.endpoint.loseAnswer, c.dead = false, true
		return gateway.Reply{}, net.ErrClosed
	}
	return reply, nil
}

// Receive implements gateway.EndpointConn.
func (c *fakeConn) Receive(deadline time.Time) (gateway.Reply, error) {
	request := c.queue[0]
	c.queue = c.queue[1:]
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-request.done:
		return request.reply, request.err
	case <-c.closed:
		return gateway.Reply{}, net.ErrClosed
	case <-timer.C:
		return gateway.Reply{}, timeoutError{}
	}
}

// timeoutError is a network timeout.
type timeoutError struct{}

func (timeoutError) Error() string { return "timeout" }
func (timeoutError) Timeout() bool { return true }

// answer runs a request and returns its reply.
func (c *fakeConn) answer(r gateway.Request) gateway.Reply {
	if c.endpoint.refuses != nil && c.endpoint.refuses(r) {
		return gateway.Reply{Code: gateway.CodeFailed, Detail: "failed on purpose"}
	}
	if c.group.onStatement != nil && r.ID != "" {
		c.group.onStatement(c, r)
	}
	if !c.endpoint.position().Covers(r.After) {
		return gateway.Reply{Code: gateway.CodeLagging}
	}
	switch r.Op {
	case session.OpStatus, session.OpDemote:
		return c.status(r)
	case session.OpReset:
		c.values, c.prepared = map[string]string{}, map[string]string{}
	case session.OpSet:
		c.values[r.Name] = r.Args
	case session.OpPrepare:
		c.prepared[r.Name] = r.Args
	case session.OpBegin, session.OpBeginRead:
		if r.Op == session.OpBegin && !c.endpoint.primary {
			return gateway.Reply{Code: gateway.CodeReadOnly}
		}
		c.inTx, c.failed, c.readOnly, c.pending = true, false, r.Op == session.OpBeginRead, nil
	case session.OpRollback:
		c.inTx, c.pending = false, nil
	case session.OpCommit:
		return c.commit()
	case session.OpRead:
		return c.read(strings.TrimPrefix(r.Text, "READ "))
	case session.OpWrite:
		return c.write(r.ID, strings.TrimPrefix(r.Text, "WRITE "))
	case session.OpExecute:
		return c.execute(r)
	}
	return gateway.Reply{}
}

// status answers a status or demote request.
func (c *fakeConn) status(r gateway.Request) gateway.Reply {
	if c.endpoint.busyForStatus {
		return gateway.Reply{Code: gateway.CodeBusy}
	}
	if term, err := strconv.ParseUint(r.Args, 10, 64); r.Op == session.OpDemote && err == nil && term > c.endpoint.term {
		c.endpoint.primary = false
	}
	return gateway.Reply{Rows: []string{fmt.Sprintf("%t %d %s", c.endpoint.primary, c.endpoint.term, c.endpoint.position())}}
}

// parseFakeStatus parses the row that status returns.
func parseFakeStatus(rows []string) (gateway.Status, error) {
	var s gateway.Status
	var position string
	if _, err := fmt.Sscanf(rows[0], "%t %d %s", &s.Primary, &s.Term, &position); err != nil {
		return s, err
	}
	var err error
	s.Received, err = logpos.Parse(position)
	return s, err
}

// execute runs a prepared statement.
func (c *fakeConn) execute(r gateway.Request) gateway.Reply {
	definition, ok := c.prepared[r.Alias]
	if !ok {
		return gateway.Reply{Code: gateway.CodeNoStatement}
	}
	if strings.HasPrefix(definition, "READ") {
		return c.read(r.Args)
	}
	return c.write(r.ID, r.Args)
}

// droppedItem is an item whose answer the memory for clients does not hold.
const droppedItem = "dropped"

// abortedItem is an item whose reads run and are then aborted.
const abortedItem = "aborted"

// read returns the newest data of the item and the session's tz value.
func (c *fakeConn) read(item string) gateway.Reply {
	if item == droppedItem {
		return gateway.Reply{Dropped: true, Signature: c.endpoint.id}
	}
	if item == abortedItem {
		return gateway.Reply{Code: gateway.CodeAborted}
	}
	data := "-"
	for _, e := range c.endpoint.log {
		if e.item == item {
			data = e.data
		}
	}
	return gateway.Reply{Rows: []string{data + " tz=" + c.values["tz"]}, Signature: c.endpoint.id}
}

// write commits at once, or adds to the open transaction.
func (c *fakeConn) write(id, text string) gateway.Reply {
	if !c.endpoint.primary || c.readOnly && c.inTx {
		c.failed = c.inTx
		return gateway.Reply{Code: gateway.CodeReadOnly}
	}
	item, data, _ := strings.Cut(text, " ")
	c.pending = append(c.pending, commit{id: id, item: item, data: data})
	if !c.inTx {
		return c.commit()
	}
	return gateway.Reply{Signature: c.endpoint.id}
}

// commit appends the pending writes to the log and replicates them.
func (c *fakeConn) commit() gateway.Reply {
	pending := c.pending
	c.inTx, c.pending = false, nil
	if len(pending) > 0 && !c.endpoint.primary {
		return gateway.Reply{Code: gateway.CodeReadOnly}
	}
	for _, e := range pending {
		e.position = logpos.Position{Term: c.endpoint.term, Offset: c.endpoint.position().Offset + 1}
		c.endpoint.log = append(c.endpoint.log, e)
		if c.group.onCommit != nil {
			c.group.onCommit(c.endpoint)
		}
		if c.group.primary().term > c.endpoint.term {
			c.group.replacedPrimaryWrites++
		}
		for _, replica := range c.group.endpoints {
			if !replica.primary && !replica.notReplicating && replica.term == c.endpoint.term && c.group.side[replica.id] == c.group.side[c.endpoint.id] {
				replica.log = append(replica.log, e)
			}
		}
	}
	return gateway.Reply{Signature: c.endpoint.id}
}

// Alive implements gateway.EndpointConn.
func (c *fakeConn) Alive() bool {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	return !c.dead
}

// Close implements gateway.EndpointConn. Requests that have not reached the endpoint are lost.
func (c *fakeConn) Close() error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.dead = true
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}
