package platform

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Paths beside the two APIs. No bucket name starts with "-".
const (
	hostsPath  = "/-/hosts"
	faultsPath = "/-/faults"
	countsPath = "/-/counts"
)

// headerTimeout bounds how long a client may take to send its headers.
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

// Start listens and serves until Close.
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

// handler routes requests. Paths with "-" first are the stand-in's own, POST /
// is the table, and everything else is the object store.
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

// URL returns the endpoint of the table and the object store.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// HostListURL returns the endpoint of the host list.
func (s *Server) HostListURL() string { return s.URL() + hostsPath }

// FaultsURL returns where the switches are read (GET) and replaced (PUT).
func (s *Server) FaultsURL() string { return s.URL() + faultsPath }

// Close stops the server and breaks all connections. The listener is closed here as
// well, since http.Server does not know of it until Serve has begun.
func (s *Server) Close() error {
	err := s.http.Close()
	if closed := s.listener.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.CombineErrors(err, closed)
	}
	return err
}

// SetFaults replaces the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// holdPoll is how often a held request looks whether it may go on.
const holdPoll = 5 * time.Millisecond

// disturb applies the outage, the hold and the delay. A request that meets an outage does
// not return from here.
func (s *Server) disturb() {
	f := s.Faults()
	if f.Outage {
		panic(http.ErrAbortHandler) // Closes the connection without an answer.
	}
	for s.Faults().Hold {
		time.Sleep(holdPoll)
	}
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
}

// lose closes the connection without an answer if the counter is above 0, and
// counts it down.
func (s *Server) lose(counter *int) {
	s.mu.Lock()
	lost := *counter > 0
	if lost {
		*counter--
		s.faults.Outage = s.faults.Outage || s.faults.OutageAfterLoss
	}
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
}
