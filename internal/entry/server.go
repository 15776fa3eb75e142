package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// maxStartupConns is how many connections beyond MaxCallers may be in their startup, so
// that callers above the limit still receive an error message.
const maxStartupConns = 1000

// Server accepts the connections of callers and serves them.
type Server struct {
	cfg         Config
	locator     *locator
	retryBudget *retryBudget
	cancelKeys  *cancelKeys
	callerCount atomic.Int64
	openConns   atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	// draining is true once Drain was called; new connections are then closed.
	draining bool
	// drainStarted is closed when Drain begins, after drainStartTime was set.
	drainStarted   chan struct{}
	drainStartTime time.Time
	// ctx ends when the remaining connections are cut off.
	ctx         context.Context
	cancel      context.CancelFunc
	connections sync.WaitGroup
}

// New returns a Server that does not listen yet.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg:          cfg,
		locator:      newLocator(cfg),
		retryBudget:  newRetryBudget(),
		cancelKeys:   newCancelKeys(),
		drainStarted: make(chan struct{}),
		ctx:          ctx,
		cancel:       cancel,
	}
}

// Serve accepts connections until Drain is called, and then returns nil. If ctx ends, it
// cuts off all connections and returns ctx's error.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if !s.setListener(ln) {
		ln.Close()
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		s.cancel()
		ln.Close()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if err == nil {
			s.serveConn(conn)
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if s.isDraining() {
			return nil
		}
		if !isTemporary(err) {
			return errors.Wrap(err, "accept a caller's connection")
		}
		wait.Sleep(ctx, acceptRetryDelay)
	}
}

// setListener records the listener. It returns false if the server is draining.
func (s *Server) setListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener = ln
	return !s.draining
}

// isDraining reports whether Drain has begun.
func (s *Server) isDraining() bool {
	select {
	case <-s.drainStarted:
		return true
	default:
		return false
	}
}

// timeSinceDrain returns the time since Drain began, 0 if it has not.
func (s *Server) timeSinceDrain() time.Duration {
	if !s.isDraining() {
		return 0
	}
	return time.Since(s.drainStartTime)
}

// serveConn serves one connection on a new goroutine.
func (s *Server) serveConn(conn net.Conn) {
	if s.openConns.Add(1) > int64(s.cfg.MaxCallers+maxStartupConns) {
		s.openConns.Add(-1)
		s.cfg.Metrics.Inc(metrics.RefusedTooManyCallers)
		conn.Close()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		s.openConns.Add(-1)
		conn.Close()
		return
	}
	s.connections.Go(func() {
		defer s.openConns.Add(-1)
		// The guard logs a panic, and run has closed the connection.
		_ = s.cfg.Guard.Do("connection of a caller", func() { newCallerConn(s, conn).run() })
	})
}

// Drain stops accepting connections and waits until all have ended. Connections that are
// idle outside a transaction are closed; requests in flight and open transactions finish.
// A caller that is never idle is served for another half second; its next request outside
// a transaction is then refused as not run. If ctx ends first, Drain cuts off the remaining
// connections and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	if !s.draining {
		s.draining = true
		s.drainStartTime = time.Now()
		close(s.drainStarted)
	}
	if s.listener != nil {
		s.listener.Close()
	}
	s.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		s.connections.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
	}
	remaining := s.openConns.Load()
	s.cancel()
	<-finished
	return errors.Wrapf(ctx.Err(), "%d callers' connections were cut off", remaining)
}

// countCallers adds n to the number of callers that have completed the startup, and returns
// the sum.
func (s *Server) countCallers(n int64) int64 {
	total := s.callerCount.Add(n)
	s.cfg.Metrics.SetGauge(metrics.CallersOpen, total)
	return total
}
