// Package admin serves the daemon's admin address over HTTP: health, readiness,
// metrics and the control state.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Timeouts of admin connections, so that a slow client does not hold resources.
const (
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
)

// Config configures a Server.
type Config struct {
	// Metrics are exported by /metrics and /metrics.json.
	Metrics *metrics.Registry
	// Ready returns nil if the daemon can serve callers, otherwise the reason why
	// not.
	Ready func() error
	// Status returns the value that /status encodes as JSON, usually the control
	// View.
	Status func() any
	// Explain returns the value that /explain encodes as JSON for the query parameters. An error
	// says what is wrong with them. Without it there is no such path.
	Explain func(url.Values) (any, error)
}

// Server serves the admin address.
type Server struct {
	cfg  Config
	http *http.Server
}

// New returns a server that is not listening yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg}
	s.http = &http.Server{
		Handler:      s.Handler(),
		ReadTimeout:  readTimeout,
		WriteTimeout: writeTimeout,
	}
	return s
}

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve(ln net.Listener) error {
	err := s.http.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops listening and waits for running requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Handler returns the HTTP handler of all paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /metrics", s.metricsText)
	mux.HandleFunc("GET /metrics.json", s.metricsJSON)
	mux.HandleFunc("GET /status", s.status)
	if s.cfg.Explain != nil {
		mux.HandleFunc("GET /explain", s.explain)
	}
	return mux
}

// health answers that the process is running.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready answers whether the daemon can serve callers.
func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Ready != nil {
		if err := s.cfg.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = w.Write([]byte("ready\n"))
}

// metricsText writes the metrics in the Prometheus text format.
func (s *Server) metricsText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = s.cfg.Metrics.WritePrometheus(w)
}

// metricsJSON writes the metrics as one JSON object.
func (s *Server) metricsJSON(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.cfg.Metrics.Values())
}

// status writes the control state as JSON.
func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Status == nil {
		http.Error(w, "no status is available", http.StatusNotFound)
		return
	}
	writeJSON(w, s.cfg.Status())
}

// explain writes where a statement would go as JSON.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	v, err := s.cfg.Explain(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, v)
}

// writeJSON writes a value as indented JSON.
func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}
