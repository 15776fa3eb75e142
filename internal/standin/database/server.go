package database

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Server is one running endpoint.
type Server struct {
	cfg          Config
	faults       *faultSwitches
	ep           *endpoint
	listener     net.Listener
	admin        *http.Server
	adminAddress string
	ctx          context.Context
	cancel       context.CancelFunc
	wg           sync.WaitGroup

	mu            sync.Mutex
	sessions      map[uint32]*session
	lastPID       uint32
	clientConns   int
	internalConns int
	// abrupt is true if the server was stopped by Kill.
	abrupt bool
}

// Start starts an endpoint, which runs until Close or Kill.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	faults := newFaultSwitches(cfg.Faults)
	ep, err := openEndpoint(cfg, faults)
	if err != nil {
		return nil, errors.Wrap(err, "open endpoint")
	}
	s := &Server{cfg: cfg, faults: faults, ep: ep, sessions: map[uint32]*session{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := s.listen(); err != nil {
		s.cancel()
		return nil, errors.CombineErrors(err, ep.store.close())
	}
	s.goTracked(s.accept)
	s.goTracked(func() { s.ep.runApply(s.ctx) })
	s.goTracked(func() { (&logReceiver{ep: s.ep}).run(s.ctx) })
	return s, nil
}

func (s *Server) listen() error {
	var err error
	if s.listener, err = net.Listen("tcp", s.cfg.Listen); err != nil {
		return err
	}
	if s.cfg.AdminListen == "" {
		return nil
	}
	if err := s.serveAdmin(); err != nil {
		return errors.CombineErrors(err, s.listener.Close())
	}
	return nil
}

// goTracked runs f in a goroutine that stop waits for.
func (s *Server) goTracked(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// Address returns the address that the endpoint listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AdminAddress returns the address of the HTTP server for the fault switches, or "" if
// there is none.
func (s *Server) AdminAddress() string { return s.adminAddress }

// Status returns the status that platform_status() reports, even while the endpoint is
// cut off.
func (s *Server) Status() platform.EndpointStatus { return s.ep.status() }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	f, _ := s.faults.snapshot()
	return f
}

// SetFaults changes the faults, which take effect immediately.
func (s *Server) SetFaults(change func(*Faults)) { s.faults.update(change) }

// Close stops the endpoint. Clients get SQLSTATE 57P01.
func (s *Server) Close() error { return s.stop(false) }

// Kill stops the endpoint and closes the connections without a message. The endpoint can
// be started again with the same data directory.
func (s *Server) Kill() error { return s.stop(true) }

func (s *Server) stop(abrupt bool) error {
	if s.ctx.Err() != nil {
		return nil
	}
	s.mu.Lock()
	s.abrupt = abrupt
	s.cancel()
	for _, c := range s.sessions {
		c.interrupt(abrupt)
	}
	s.mu.Unlock()
	err := s.listener.Close()
	if s.admin != nil {
		err = errors.CombineErrors(err, s.admin.Close())
	}
	s.wg.Wait()
	return errors.CombineErrors(err, s.ep.store.close())
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goTracked(func() { newSession(s, conn).run() })
	}
}

// register adds a session and assigns its process ID. It returns an error if the limit of
// connections is reached or the server is stopping.
func (s *Server) register(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return newFatal(sqlStateAdminShutdown, "terminating connection due to administrator command")
	}
	count, limit := &s.clientConns, s.cfg.Connections
	if c.isInternal() {
		count, limit = &s.internalConns, maxInternalConnections
	}
	if *count >= limit {
		return newFatal(sqlStateTooManyConnections, "sorry, too many clients already")
	}
	*count++
	s.lastPID++
	c.pid = s.lastPID
	s.sessions[c.pid] = c
	return nil
}

func (s *Server) unregister(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c.pid] != c {
		return
	}
	delete(s.sessions, c.pid)
	if c.isInternal() {
		s.internalConns--
		return
	}
	s.clientConns--
}

// Statements returns the number of statements that got a slot since the start.
func (s *Server) Statements() int64 { return s.ep.statements.Load() }

// Connections returns the number of open client connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientConns
}

func (s *Server) cancelStatement(pid uint32, secret string) {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c != nil && string(c.secret) == secret {
		c.cancelStatement()
	}
}

// pastDeadline is a read deadline in the past, which interrupts a blocked read.
var pastDeadline = time.Unix(1, 0)
