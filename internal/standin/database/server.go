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
	cfg      Config
	faults   *faultBox
	ep       *endpoint
	listener net.Listener
	admin    *http.Server
	adminAt  string
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu       sync.Mutex
	sessions map[uint32]*session
	lastPID  uint32
	clients  int
	control  int
	// abrupt closes connections without a farewell.
	abrupt bool
}

// Start runs an endpoint until Close or Kill.
func Start(cfg Config) (*Server, error) {
	cfg = cfg.withDefaults()
	faults := newFaultBox(cfg.Faults)
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
	s.launch(s.accept)
	s.launch(func() { s.ep.runApply(s.ctx) })
	s.launch(func() { (&puller{ep: s.ep}).run(s.ctx) })
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

func (s *Server) launch(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// Address returns the address that the endpoint listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// AdminAddress returns the address of the fault switches, empty for none.
func (s *Server) AdminAddress() string { return s.adminAt }

// Status returns what platform_status() answers, even during a cut.
func (s *Server) Status() platform.EndpointStatus { return s.ep.status() }

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	f, _ := s.faults.get()
	return f
}

// SetFaults changes the faults; they take effect at once.
func (s *Server) SetFaults(change func(*Faults)) { s.faults.update(change) }

// Close ends the endpoint; clients get SQLSTATE 57P01.
func (s *Server) Close() error { return s.stop(false) }

// Kill ends the endpoint without a word to its clients. The data directory can
// be started again.
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
		s.launch(func() { newSession(s, conn).run() })
	}
}

// register gives a session its process ID, unless the limit is reached.
func (s *Server) register(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		return newFatal(stateAdminShutdown, "terminating connection due to administrator command")
	}
	count, limit := &s.clients, s.cfg.Connections
	if c.reserved() {
		count, limit = &s.control, defaultControlConnections
	}
	if *count >= limit {
		return newFatal(stateTooManyConnections, "sorry, too many clients already")
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
	if c.reserved() {
		s.control--
		return
	}
	s.clients--
}

// Statements returns the number of statements that took a slot since the start.
func (s *Server) Statements() int64 { return s.ep.statements.Load() }

// Connections returns the number of open client connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clients
}

func (s *Server) cancelStatement(pid uint32, secret string) {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c != nil && string(c.secret) == secret {
		c.cancelStatement()
	}
}

// pastDeadline wakes a blocked read of a connection.
var pastDeadline = time.Unix(1, 0)
