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

// maxStarting is the number of connections beyond the largest number of callers
// that may be in their startup, so that they can be told why they are refused.
const maxStarting = 1000

// Server accepts callers' connections and serves them.
type Server struct {
	cfg     Config
	locator *locator
	budget  *retryBudget
	keys    *keys
	callers atomic.Int64
	open    atomic.Int64

	mu       sync.Mutex
	listener net.Listener
	drained  bool
	// draining is closed when Drain begins; drainStart is set before.
	draining   chan struct{}
	drainStart time.Time
	// ctx ends when the connections that are left are cut off.
	ctx    context.Context
	cancel context.CancelFunc
	serve  sync.WaitGroup
}

// New returns a Server that does not listen yet.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		cfg:      cfg,
		locator:  newLocator(cfg),
		budget:   newRetryBudget(),
		keys:     newKeys(),
		draining: make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Serve accepts connections until Drain, after which it returns nil. When ctx
// ends it cuts off all connections and returns ctx's error.
func (g *Server) Serve(ctx context.Context, ln net.Listener) error {
	if !g.listen(ln) {
		ln.Close()
		return nil
	}
	stop := context.AfterFunc(ctx, func() {
		g.cancel()
		ln.Close()
	})
	defer stop()
	for {
		conn, err := ln.Accept()
		if err == nil {
			g.accept(conn)
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if g.isDraining() {
			return nil
		}
		if !isTemporary(err) {
			return errors.Wrap(err, "accepting callers")
		}
		wait.Sleep(ctx, acceptPause)
	}
}

// listen records the listener; false if the gate is draining.
func (g *Server) listen(ln net.Listener) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listener = ln
	return !g.drained
}

// isDraining reports whether Drain has begun.
func (g *Server) isDraining() bool {
	select {
	case <-g.draining:
		return true
	default:
		return false
	}
}

// drainedFor returns the time since Drain began, 0 before.
func (g *Server) drainedFor() time.Duration {
	if !g.isDraining() {
		return 0
	}
	return time.Since(g.drainStart)
}

// accept serves one connection on a goroutine of its own.
func (g *Server) accept(conn net.Conn) {
	if g.open.Add(1) > int64(g.cfg.MaxCallers+maxStarting) {
		g.open.Add(-1)
		g.cfg.Metrics.Inc(metrics.RefusedTooManyCallers)
		conn.Close()
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.drained {
		g.open.Add(-1)
		conn.Close()
		return
	}
	g.serve.Go(func() {
		defer g.open.Add(-1)
		newCaller(g, conn).run()
	})
}

// Drain stops accepting. Connections that are idle outside a transaction are
// closed; requests in flight and open transactions finish. A caller that never
// pauses is served for another half second, and its next request outside a
// transaction is then refused as not run. When ctx ends first,
// the rest is cut off and an error is returned.
func (g *Server) Drain(ctx context.Context) error {
	g.mu.Lock()
	if !g.drained {
		g.drained = true
		g.drainStart = time.Now()
		close(g.draining)
	}
	if g.listener != nil {
		g.listener.Close()
	}
	g.mu.Unlock()
	finished := make(chan struct{})
	go func() {
		g.serve.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
	}
	left := g.open.Load()
	g.cancel()
	<-finished
	return errors.Wrapf(ctx.Err(), "%d callers' connections were cut off", left)
}

// countCallers adds to the number of callers past their startup.
func (g *Server) countCallers(n int64) int64 {
	total := g.callers.Add(n)
	g.cfg.Metrics.SetGauge(metrics.CallersOpen, total)
	return total
}
