package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Transaction statuses of ReadyForQuery.
const (
	statusIdle   = 'I'
	statusOpen   = 'T'
	statusFailed = 'E'
)

// Times at the end of a connection.
const (
	// drainGrace is how long an idle connection is still read before it is
	// closed, so that a request that has already arrived is served.
	drainGrace = 20 * time.Millisecond
	// drainServe is how long a caller that sends one request after another is
	// served after the drain began. Its next request is then refused as not run:
	// such a connection is never idle, and closing it after an answer could lose a
	// request that is on its way.
	drainServe = 500 * time.Millisecond
	// lingerTimeout is how long the entry reads on after the last message, so that
	// the caller gets that message instead of a reset connection.
	lingerTimeout = 500 * time.Millisecond
)

// transaction is an open transaction of a caller.
type transaction struct {
	id    []byte
	owner *peerv1.Location
}

// running is a request of which the owner has not sent the end.
type running struct {
	address string
	id      []byte
}

// caller is one connection of a caller.
type caller struct {
	gate   *Server
	conn   net.Conn
	reader *reader
	// ctx ends when the connection is lost or the gate is stopped.
	ctx       context.Context
	cancel    context.CancelFunc
	encrypted bool
	counted   bool
	// startupBytes is the length of the requests for encryption so far.
	startupBytes int64

	processID uint32
	secret    []byte
	pool      string
	session   string
	timeout   time.Duration

	statements  *statementStore
	status      byte
	transaction *transaction
	// skipping is true after an error in a batch that ended with Flush, until Sync.
	skipping bool

	mu      sync.Mutex
	running *running
	// cancelWait ends the search for an owner; canceled is true after a
	// CancelRequest for the current batch.
	cancelWait context.CancelFunc
	canceled   bool
}

// newCaller returns a connection that has not started up.
func newCaller(g *Server, conn net.Conn) *caller {
	ctx, cancel := context.WithCancel(g.ctx)
	c := &caller{
		gate:       g,
		ctx:        ctx,
		cancel:     cancel,
		timeout:    g.cfg.RequestTimeout,
		statements: newStatementStore(g.cfg.MaxMessageBytes),
		status:     statusIdle,
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(callerKeepAlive)
	}
	c.use(conn)
	return c
}

// use makes conn the connection that is read and written.
func (c *caller) use(conn net.Conn) {
	c.conn = conn
	counter := &countingReader{conn: conn}
	backend := pgproto3.NewBackend(counter, conn)
	backend.SetMaxBodyLen(c.gate.cfg.MaxMessageBytes)
	c.reader = &reader{backend: backend, counter: counter, limit: c.gate.cfg.MaxMessageBytes}
}

// Write sends bytes to the caller. A caller that reads nothing for the write
// timeout is cut off, so that it doesn't hold an owner's slot.
func (c *caller) Write(b []byte) (int, error) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.gate.cfg.WriteTimeout))
	return c.conn.Write(b)
}

// run serves the connection until it ends.
func (c *caller) run() {
	defer c.close()
	stop := context.AfterFunc(c.gate.ctx, func() { c.conn.Close() })
	defer stop()
	if c.startup() != nil {
		return
	}
	events := make(chan event)
	go c.reader.run(c.ctx, events, c.cancel)
	c.serve(events)
}

// close releases everything that the connection holds.
func (c *caller) close() {
	c.cancel()
	c.conn.Close()
	c.gate.keys.remove(c)
	if c.counted {
		c.gate.countCallers(-1)
	}
	if c.transaction != nil {
		c.gate.cfg.Peers.CloseTransaction(c.transaction.owner.GetAddress(), c.transaction.id)
	}
}

// serve handles batches one after another until the connection ends.
func (c *caller) serve(events <-chan event) {
	draining := c.gate.draining
	for {
		select {
		case <-c.ctx.Done():
			c.countGone()
			return
		case <-draining:
			draining = nil
			c.limitIdle()
		case e := <-events:
			if !c.handle(e) {
				return
			}
			if draining == nil || c.gate.isDraining() {
				c.limitIdle()
			}
		}
	}
}

// limitIdle lets the reader time out while the gate drains, unless a transaction
// is open.
func (c *caller) limitIdle() {
	if c.status == statusIdle && !c.skipping {
		_ = c.conn.SetReadDeadline(time.Now().Add(drainGrace))
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
}

// handle handles one event; false ends the connection.
func (c *caller) handle(e event) bool {
	switch {
	case e.batch != nil:
		return c.runBatch(e.batch) == nil
	case e.timeout:
		return c.timedOut(e.quiet)
	case e.refusal != nil:
		_ = c.end(e.refusal)
		return false
	default:
		if errors.Is(e.err, errCallerGone) {
			c.countGone()
		}
		return false
	}
}

// countGone counts a connection that ended without Terminate.
func (c *caller) countGone() {
	if c.gate.ctx.Err() == nil {
		c.gate.cfg.Metrics.Inc(metrics.CallersDisconnected)
	}
}

// timedOut ends an idle connection while the gate drains.
func (c *caller) timedOut(quiet bool) bool {
	if !c.gate.isDraining() || c.status != statusIdle || c.skipping {
		_ = c.conn.SetReadDeadline(time.Time{})
		return true
	}
	if !quiet {
		return true
	}
	_ = c.end(shuttingDown())
	return false
}

// shuttingDown ends a connection while the gate drains.
func shuttingDown() *refusal {
	return notRun(stateShutdown, metrics.RefusedDraining, "terminating connection because the proxy is shutting down").ending()
}

// end sends the last message of a connection and returns errStartupOver.
func (c *caller) end(r *refusal) error {
	c.gate.cfg.Metrics.Inc(r.reason)
	if _, err := c.Write(encode(nil, r.response())); err != nil {
		return errStartupOver
	}
	c.linger()
	return errStartupOver
}

// linger reads and drops what the caller still sends.
func (c *caller) linger() {
	half, ok := c.conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buf := make([]byte, 4096)
	for {
		if _, err := c.conn.Read(buf); err != nil {
			return
		}
	}
}

// runBatch answers one batch. An error ends the connection.
func (c *caller) runBatch(b *batch) error {
	if c.skipping {
		return c.skip(b)
	}
	if c.status == statusIdle && c.gate.drainedFor() > drainServe {
		return c.end(shuttingDown())
	}
	c.gate.cfg.Metrics.Inc(metrics.Requests)
	p, refused := c.prepare(b)
	if refused != nil {
		return c.refuse(b, refused)
	}
	ch := checkTexts(append(p.texts[:len(p.texts):len(p.texts)], p.parsed...))
	if c.lostTransaction() && !b.onlyCloses() {
		return c.answerLost(b, p, ch)
	}
	if refused := ch.refusal(); refused != nil {
		return c.refuse(b, refused)
	}
	if ch.local() || b.onlyCloses() {
		return c.answerLocally(b, p, ch)
	}
	return newRequest(c, p, ch).run()
}

// prepare checks the batch's form and makes it self-contained.
func (c *caller) prepare(b *batch) (*prepared, *refusal) {
	if b.kind() == typeFunctionCall {
		return nil, notRun(stateNotSupported, metrics.RefusedProtocol, "function calls of the protocol are not supported")
	}
	if b.kind() == typeFlush && b.runs() {
		return nil, notRun(stateNotSupported, metrics.RefusedProtocol, "Flush after Bind or Execute is not supported; end the batch with Sync")
	}
	return c.statements.compose(b)
}

// skip drops a batch after an error, up to Sync.
func (c *caller) skip(b *batch) error {
	if b.kind() != typeSync {
		return nil
	}
	c.skipping = false
	_, err := c.Write(encode(nil, &pgproto3.ReadyForQuery{TxStatus: c.status}))
	return err
}

// refuse answers a batch of which nothing was sent to an owner. The status of a
// transaction does not change.
func (c *caller) refuse(b *batch, r *refusal) error {
	c.gate.cfg.Metrics.Inc(r.reason)
	out := encode(nil, r.response())
	if b.kind() == typeFlush {
		c.skipping = true
	} else {
		out = encode(out, &pgproto3.ReadyForQuery{TxStatus: c.status})
	}
	_, err := c.Write(out)
	return err
}

// cancelRunning cancels the caller's current batch, if any.
func (c *caller) cancelRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWait == nil {
		return
	}
	c.canceled = true
	c.cancelWait()
	if c.running != nil {
		c.gate.cfg.Peers.Cancel(c.running.address, c.running.id)
	}
}
