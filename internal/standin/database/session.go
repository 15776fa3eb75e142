package database

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// Users whose connections do not count towards the limit of client connections.
const (
	// ControlUser is the user of group control.
	ControlUser = "platform_control"
	// ReplicationUser is the user as which replicas connect to the primary.
	ReplicationUser = "platform_replication"
)

// errSessionEnded ends a session without an error message to the client.
var errSessionEnded = errors.New("session ends")

// session serves one connection.
type session struct {
	srv     *Server
	ep      *endpoint
	conn    net.Conn
	backend *pgproto3.Backend
	types   *pgtype.Map
	user    string
	pid     uint32
	secret  []byte
	// term is the endpoint's appointed term at the time when the session was opened.
	// The session may write only in this term, so that a write that waits while the
	// term changes does not run.
	term uint64

	tx         transaction
	statements map[string]*preparedStatement
	portals    map[string]*portal
	// skipUntilSync is true after an error in the extended protocol: messages are
	// discarded until the next Sync.
	skipUntilSync bool

	mu     sync.Mutex
	cancel context.CancelFunc
}

func newSession(srv *Server, conn net.Conn) *session {
	return &session{
		srv:        srv,
		ep:         srv.ep,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		types:      pgtype.NewMap(),
		statements: map[string]*preparedStatement{},
		portals:    map[string]*portal{},
	}
}

func (c *session) run() {
	defer c.conn.Close()
	stop := context.AfterFunc(c.srv.ctx, func() { _ = c.conn.SetReadDeadline(pastDeadline) })
	defer stop()
	err := c.startUp()
	if err == nil {
		defer c.srv.unregister(c)
		defer c.rollback()
		err = c.serveMessages()
	}
	c.sendFinalError(err)
}

// sendFinalError sends the client the error that ends its session, if there is one. After
// Kill it sends nothing.
func (c *session) sendFinalError(err error) {
	if c.srv.ctx.Err() != nil {
		if c.srv.killed() {
			return
		}
		err = newFatal(sqlStateAdminShutdown, "terminating connection due to administrator command")
	}
	var fatal *sqlError
	if errors.As(err, &fatal) {
		c.backend.Send(fatal.response())
		_ = c.flush()
	}
}

func (s *Server) killed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.abrupt
}

func (c *session) isInternal() bool { return c.user == ControlUser || c.user == ReplicationUser }

func (c *session) blocked(f Faults) bool {
	if c.user == ReplicationUser {
		return f.replicationBlocked()
	}
	return f.clientsBlocked()
}

// startUp receives and answers the startup message, and registers the session.
func (c *session) startUp() error {
	msg, err := c.receiveStartup()
	if err != nil {
		return err
	}
	if err := c.srv.faults.waitWhile(c.srv.ctx, c.blocked); err != nil {
		return err
	}
	c.user = msg.Parameters["user"]
	if err := sleep(c.srv.ctx, c.srv.cfg.ConnectDelay); err != nil {
		return err
	}
	c.secret = make([]byte, 4)
	_, _ = rand.Read(c.secret)
	if err := c.srv.register(c); err != nil {
		return err
	}
	state, _ := c.ep.stateAndLogEnd()
	c.term = state.AppointedTerm
	c.sendStartupParameters()
	if err := c.flush(); err != nil {
		c.srv.unregister(c)
		return err
	}
	return nil
}

func (c *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch msg := msg.(type) {
		case *pgproto3.StartupMessage:
			return msg, nil
		case *pgproto3.CancelRequest:
			c.srv.cancelStatement(msg.ProcessID, string(msg.SecretKey))
			return nil, errSessionEnded
		default:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		}
	}
}

func (c *session) sendStartupParameters() {
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", serverVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.sendReady()
}

const serverVersion = "16.0"

func (c *session) sendReady() { c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.tx.status()}) }

func (c *session) flush() error {
	if err := c.srv.faults.waitWhile(c.srv.ctx, c.blocked); err != nil {
		return err
	}
	return c.backend.Flush()
}

func (c *session) serveMessages() error {
	for {
		msg, err := c.receive()
		if err != nil {
			return err
		}
		if err := c.handle(msg); err != nil {
			return err
		}
	}
}

// receive reads the next message. If an open transaction is idle for too long, it rolls
// the transaction back and returns an error. A message that arrives while the endpoint
// is cut off counts as received only when the fault ends.
func (c *session) receive() (pgproto3.FrontendMessage, error) {
	idle := c.srv.cfg.IdleInTransaction
	ctx := c.srv.ctx
	if c.tx.open {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, idle)
		defer cancel()
		_ = c.conn.SetReadDeadline(time.Now().Add(idle))
		defer c.clearDeadline()
	}
	msg, err := c.backend.Receive()
	if err == nil {
		err = c.srv.faults.waitWhile(ctx, c.blocked)
	}
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, context.DeadlineExceeded)
	if timedOut && c.tx.open && c.srv.ctx.Err() == nil {
		c.rollback()
		return nil, newFatal(sqlStateIdleInTransaction, "terminating connection due to idle-in-transaction timeout")
	}
	return msg, err
}

func (c *session) clearDeadline() {
	_ = c.conn.SetReadDeadline(time.Time{})
	if c.srv.ctx.Err() != nil {
		_ = c.conn.SetReadDeadline(pastDeadline)
	}
}

func (c *session) handle(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Terminate:
		return errSessionEnded
	case *pgproto3.Query:
		return c.simpleQuery(msg.String)
	case *pgproto3.Sync:
		return c.sync()
	case *pgproto3.Flush:
		return c.flush()
	}
	if c.skipUntilSync {
		return nil
	}
	if err := c.handleExtended(msg); err != nil {
		if c.srv.ctx.Err() != nil {
			return err
		}
		c.fail(err)
		c.skipUntilSync = true
	}
	return nil
}

// fail sends the error and marks the transaction as failed.
func (c *session) fail(err error) {
	c.backend.Send(asSQLError(err).response())
	c.tx.fail()
}

// statementContext returns a context that is cancelled by a cancel request or when the
// server stops.
func (c *session) statementContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(c.srv.ctx)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, cancel
}

func (c *session) cancelStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// interrupt closes the connection if the server is killed. After Close, the server's
// context ends the session.
func (c *session) interrupt(abrupt bool) {
	if abrupt {
		_ = c.conn.Close()
	}
}
