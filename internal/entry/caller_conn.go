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
	statusIdle          = 'I'
	statusInTransaction = 'T'
	statusFailed        = 'E'
)

// Time limits for ending a connection.
const (
	// drainIdleTimeout is how long a drain still reads from an idle connection before
	// it closes it, so that a request that has already arrived is served.
	drainIdleTimeout = 20 * time.Millisecond
	// drainBusyTimeout is how long after the start of a drain a caller is still served
	// that sends one request after another and is never idle. Its next request is then
	// refused as not run. Closing the connection after an answer instead could lose a
	// request that is already on its way.
	drainBusyTimeout = 500 * time.Millisecond
	// lingerTimeout is how long the entry keeps reading after it sent the last message.
	// Closing a connection with unread data resets it, and the caller could lose the
	// last message.
	lingerTimeout = 500 * time.Millisecond
)

// transaction is an open transaction of a caller.
type transaction struct {
	id    []byte
	owner *peerv1.Location
}

// runningRequest identifies a request whose answer is not complete.
type runningRequest struct {
	ownerAddress string
	id           []byte
}

// callerConn is one connection of a caller.
type callerConn struct {
	server *Server
	conn   net.Conn
	reader *reader
	// ctx ends when the connection is lost or the server cuts it off.
	ctx       context.Context
	cancel    context.CancelFunc
	tlsActive bool
	// registered is true once the connection is counted as a caller.
	registered bool
	// startupBytes is the number of bytes of the encryption requests so far.
	startupBytes int64

	processID uint32
	secret    []byte
	pool      string
	// session identifies the session, whose reads must see its earlier writes.
	session string
	// timeout is how long the caller waits for an answer.
	timeout time.Duration

	statements  *statementStore
	status      byte
	transaction *transaction
	// skipToSync is true after an error in a batch that ended with Flush: all messages up
	// to the next Sync are then ignored.
	skipToSync bool

	mu      sync.Mutex
	running *runningRequest
	// cancelWait ends the search for an owner. canceled is true if a CancelRequest has
	// arrived for the current batch.
	cancelWait context.CancelFunc
	canceled   bool
}

// newCallerConn returns a connection before its startup.
func newCallerConn(s *Server, conn net.Conn) *callerConn {
	ctx, cancel := context.WithCancel(s.ctx)
	c := &callerConn{
		server:     s,
		ctx:        ctx,
		cancel:     cancel,
		timeout:    s.cfg.RequestTimeout,
		statements: newStatementStore(s.cfg.MaxMessageBytes),
		status:     statusIdle,
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(callerKeepAlive)
	}
	c.setConn(conn)
	return c
}

// setConn sets the network connection, which TLS replaces during the startup.
func (c *callerConn) setConn(conn net.Conn) {
	c.conn = conn
	counter := &countingReader{conn: conn}
	backend := pgproto3.NewBackend(counter, conn)
	backend.SetMaxBodyLen(c.server.cfg.MaxMessageBytes)
	c.reader = &reader{backend: backend, counter: counter, maxBytes: c.server.cfg.MaxMessageBytes}
}

// Write sends bytes to the caller. The write fails if the caller reads nothing for
// WriteTimeout, so that a stalled caller does not occupy a slot of the owner.
func (c *callerConn) Write(b []byte) (int, error) {
	_ = c.conn.SetWriteDeadline(time.Now().Add(c.server.cfg.WriteTimeout))
	return c.conn.Write(b)
}

// run serves the connection until it ends.
func (c *callerConn) run() {
	defer c.close()
	stop := context.AfterFunc(c.server.ctx, func() { c.conn.Close() })
	defer stop()
	if c.startup() != nil {
		return
	}
	events := make(chan readEvent)
	go func() {
		err := c.server.cfg.Guard.Do("read of a caller's messages", func() { c.reader.run(c.ctx, events, c.cancel) })
		if err != nil {
			c.cancel()
		}
	}()
	c.serve(events)
}

// close releases the resources of the connection and rolls back its open transaction.
func (c *callerConn) close() {
	c.cancel()
	c.conn.Close()
	c.server.cancelKeys.remove(c)
	if c.registered {
		c.server.countCallers(-1)
	}
	if c.transaction != nil {
		c.server.cfg.Peers.CloseTransaction(c.transaction.owner.GetAddress(), c.transaction.id)
	}
}

// serve handles one batch after another until the connection ends.
func (c *callerConn) serve(events <-chan readEvent) {
	draining := c.server.drainStarted
	for {
		select {
		case <-c.ctx.Done():
			c.countDisconnect()
			return
		case <-draining:
			draining = nil
			c.updateIdleDeadline()
		case e := <-events:
			if !c.handleEvent(e) {
				return
			}
			if draining == nil || c.server.isDraining() {
				c.updateIdleDeadline()
			}
		}
	}
}

// updateIdleDeadline is called during a drain. It sets a read deadline of drainIdleTimeout
// if no transaction is open, and removes the deadline otherwise.
func (c *callerConn) updateIdleDeadline() {
	if c.status == statusIdle && !c.skipToSync {
		_ = c.conn.SetReadDeadline(time.Now().Add(drainIdleTimeout))
		return
	}
	_ = c.conn.SetReadDeadline(time.Time{})
}

// handleEvent handles one event. It returns false if the connection must end.
func (c *callerConn) handleEvent(e readEvent) bool {
	switch {
	case e.batch != nil:
		return c.runBatch(e.batch) == nil
	case e.timeout:
		return c.handleReadTimeout(e.betweenBatches)
	case e.refusal != nil:
		_ = c.closeWithError(e.refusal)
		return false
	default:
		if errors.Is(e.err, errCallerDisconnected) {
			c.countDisconnect()
		}
		return false
	}
}

// countDisconnect counts a connection that the caller closed without Terminate.
func (c *callerConn) countDisconnect() {
	if c.server.ctx.Err() == nil {
		c.server.cfg.Metrics.Inc(metrics.CallersDisconnected)
	}
}

// handleReadTimeout ends the connection if the server drains and the connection is idle.
// It returns false if the connection has ended.
func (c *callerConn) handleReadTimeout(betweenBatches bool) bool {
	if !c.server.isDraining() || c.status != statusIdle || c.skipToSync {
		_ = c.conn.SetReadDeadline(time.Time{})
		return true
	}
	if !betweenBatches {
		return true
	}
	_ = c.closeWithError(shutdownRefusal())
	return false
}

// shutdownRefusal returns the error that ends a connection during a drain.
func shutdownRefusal() *refusal {
	return notRun(stateShutdown, metrics.RefusedDraining, "terminating connection because the proxy is shutting down").asFatal()
}

// closeWithError sends the refusal as the last message of the connection and returns
// errConnEnded.
func (c *callerConn) closeWithError(r *refusal) error {
	c.server.cfg.Metrics.Inc(r.reason)
	if _, err := c.Write(encode(nil, r.response())); err != nil {
		return errConnEnded
	}
	c.linger()
	return errConnEnded
}

// linger closes the sending side and discards what the caller still sends, until the
// caller closes the connection or lingerTimeout is over.
func (c *callerConn) linger() {
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

// runBatch runs and answers one batch. If it returns an error, the connection must end.
func (c *callerConn) runBatch(b *batch) error {
	if c.skipToSync {
		return c.skipBatch(b)
	}
	if c.status == statusIdle && c.server.timeSinceDrain() > drainBusyTimeout {
		return c.closeWithError(shutdownRefusal())
	}
	c.server.cfg.Metrics.Inc(metrics.Requests)
	prepared, refused := c.prepare(b)
	if refused != nil {
		return c.refuse(b, refused)
	}
	classes := classifyTexts(append(prepared.executedTexts[:len(prepared.executedTexts):len(prepared.executedTexts)], prepared.parsedTexts...))
	if c.inLostTransaction() && !b.onlyClosesStatements() {
		return c.answerInLostTransaction(b, prepared, classes)
	}
	if refused := classes.refusal(); refused != nil {
		return c.refuse(b, refused)
	}
	if classes.answeredLocally() || b.onlyClosesStatements() {
		return c.answerLocally(b, prepared, classes)
	}
	return newRequest(c, prepared, classes).run()
}

// prepare checks that the batch uses only supported parts of the protocol and makes it
// self-contained.
func (c *callerConn) prepare(b *batch) (*selfContainedBatch, *refusal) {
	if b.endType() == typeFunctionCall {
		return nil, notRun(stateNotSupported, metrics.RefusedProtocol, "function calls of the protocol are not supported")
	}
	if b.endType() == typeFlush && b.usesPortal() {
		return nil, notRun(stateNotSupported, metrics.RefusedProtocol, "Flush after Bind or Execute is not supported; end the batch with Sync")
	}
	return c.statements.compose(b)
}

// skipBatch ignores a batch that follows an error, and answers its Sync.
func (c *callerConn) skipBatch(b *batch) error {
	if b.endType() != typeSync {
		return nil
	}
	c.skipToSync = false
	_, err := c.Write(encode(nil, &pgproto3.ReadyForQuery{TxStatus: c.status}))
	return err
}

// refuse answers a batch that was not sent to an owner with an error. The transaction
// status does not change.
func (c *callerConn) refuse(b *batch, r *refusal) error {
	c.server.cfg.Metrics.Inc(r.reason)
	out := encode(nil, r.response())
	if b.endType() == typeFlush {
		c.skipToSync = true
	} else {
		out = encode(out, &pgproto3.ReadyForQuery{TxStatus: c.status})
	}
	_, err := c.Write(out)
	return err
}

// cancelRunning cancels the current batch of the connection, if there is one.
func (c *callerConn) cancelRunning() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelWait == nil {
		return
	}
	c.canceled = true
	c.cancelWait()
	if c.running != nil {
		c.server.cfg.Peers.Cancel(c.running.ownerAddress, c.running.id)
	}
}
