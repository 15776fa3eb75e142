package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Paths of the stand-in's own API. They cannot collide with objects, because no bucket
// name starts with "-".
const (
	hostsPath  = "/-/hosts"
	faultsPath = "/-/faults"
	countsPath = "/-/counts"
)

// headerTimeout bounds the time that a client takes to send its headers.
const headerTimeout = 10 * time.Second

// Server is a running stand-in.
type Server struct {
	http     *http.Server
	listener net.Listener

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	items   map[string]attributes
	objects map[string][]byte
	hosts   hostHistory
}

// Start starts a stand-in, which serves until Close.
func Start(cfg Config) (*Server, error) {
	address := cfg.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &Server{listener: listener, items: make(map[string]attributes), objects: make(map[string][]byte)}
	s.SetHosts(cfg.Hosts)
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.http.Serve(listener) }() // Returns ErrServerClosed after Close.
	return s, nil
}

// handler routes requests: paths that start with "/-/" to the stand-in's own API,
// POST / to the table, and everything else to the object store.
func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+hostsPath, s.serveHosts)
	mux.HandleFunc("PUT "+hostsPath, s.serveSetHosts)
	mux.HandleFunc("GET "+faultsPath, s.serveFaults)
	mux.HandleFunc("PUT "+faultsPath, s.serveSetFaults)
	mux.HandleFunc("GET "+countsPath, s.serveCounts)
	mux.HandleFunc("POST /{$}", s.serveTable)
	mux.HandleFunc("PUT /{bucket}/{key...}", s.servePutObject)
	mux.HandleFunc("GET /{bucket}/{key...}", s.serveGetObject)
	return mux
}

// URL returns the base URL of the table and of the object store.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// HostListURL returns the URL of the host list.
func (s *Server) HostListURL() string { return s.URL() + hostsPath }

// FaultsURL returns the URL at which the fault switches are read (GET) and replaced
// (PUT).
func (s *Server) FaultsURL() string { return s.URL() + faultsPath }

// Close stops the server and closes all connections. It also closes the listener
// itself, because http.Server does not know the listener before Serve has started.
func (s *Server) Close() error {
	err := s.http.Close()
	if closed := s.listener.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.CombineErrors(err, closed)
	}
	return err
}

// SetFaults replaces the fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// holdPollInterval is how often a held request checks whether it may continue.
const holdPollInterval = 5 * time.Millisecond

// applyFaults applies the faults Outage, Hold and DelayMs to a request. During an
// outage it panics to abort the request.
func (s *Server) applyFaults() {
	f := s.Faults()
	if f.Outage {
		panic(http.ErrAbortHandler) // Closes the connection without an answer.
	}
	for s.Faults().Hold {
		time.Sleep(holdPollInterval)
	}
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
}

// loseAnswer closes the connection without an answer if remaining, the number of
// answers still to be lost, is above 0, and decrements it.
func (s *Server) loseAnswer(remaining *int) {
	s.mu.Lock()
	lost := *remaining > 0
	if lost {
		*remaining--
		s.faults.Outage = s.faults.Outage || s.faults.OutageAfterLoss
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}
