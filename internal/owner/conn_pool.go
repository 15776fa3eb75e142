package owner

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/socket"
)

// reservedConns is the number of an endpoint's connections that are kept free for the
// control connections of this and other daemons.
const reservedConns = 2

// connPool holds the connections to one endpoint in one term. It never has more of
// them open than the endpoint's limit minus reservedConns.
type connPool struct {
	pool    manifest.Pool
	address string
	term    uint64
	metrics *metrics.Registry
	// permits is a semaphore: it holds one element for each connection that is open
	// or being opened.
	permits chan struct{}

	// idle holds the open connections that no batch or transaction uses.
	idle chan *conn

	mu     sync.Mutex
	closed bool
	// inUse holds the connections that a batch or a transaction uses.
	inUse map[*conn]struct{}
}

// errPoolClosed reports that the group's term has ended.
var errPoolClosed = errors.New("the group's term has ended")

func newConnPool(pool manifest.Pool, ep manifest.Endpoint, term uint64, m *metrics.Registry) *connPool {
	limit := max(ep.Connections-reservedConns, 1)
	return &connPool{
		pool:    pool,
		address: ep.Address,
		term:    term,
		metrics: m,
		permits: make(chan struct{}, limit),
		idle:    make(chan *conn, limit),
		inUse:   make(map[*conn]struct{}),
	}
}

// get returns an idle connection or opens one. While the limit is reached and no
// connection is idle, it waits.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, err
	}
	if !p.markInUse(c) {
		p.discard(c)
		return nil, errPoolClosed
	}
	return c, nil
}

// markInUse records that the connection is in use. It returns false if the pool is
// closed.
func (p *connPool) markInUse(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.inUse[c] = struct{}{}
	return true
}

// acquire takes an idle connection or opens one, without marking it as in use.
func (p *connPool) acquire(ctx context.Context) (*conn, error) {
	for {
		select {
		case c := <-p.idle:
			if p.usable(c) {
				return c, nil
			}
			continue
		default:
		}
		select {
		case c := <-p.idle:
			if p.usable(c) {
				return c, nil
			}
		case p.permits <- struct{}{}:
			return p.open(ctx)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// usable reports whether the idle connection is still alive, and discards it if not.
func (p *connPool) usable(c *conn) bool {
	if socket.Alive(c.netConn) {
		return true
	}
	p.discard(c)
	return false
}

// open opens a connection. The calling function must have taken a permit, which open
// frees if it fails.
func (p *connPool) open(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, p.pool, p.address, p.term)
	if err != nil {
		<-p.permits
		return nil, err
	}
	p.metrics.Inc(metrics.ConnsOpened)
	return c, nil
}

// put returns a connection to the pool. The connection is kept for reuse only if it
// is idle, no late cancel request can reach it, and the pool is not closed.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	if !c.idle || c.canceled || p.closed {
		p.closeAndFreePermit(c)
		return
	}
	p.idle <- c
}

// discard closes a connection that was in use.
func (p *connPool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	p.closeAndFreePermit(c)
}

// closeInUse closes the connections in use, so that batches on an endpoint that no
// longer answers fail at once. Their users still discard them, which frees the permits.
func (p *connPool) closeInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeInUseLocked()
}

func (p *connPool) closeInUseLocked() {
	for c := range p.inUse {
		c.close()
	}
}

// closeAndFreePermit closes a connection and frees its permit.
func (p *connPool) closeAndFreePermit(c *conn) {
	c.close()
	<-p.permits
	p.metrics.Inc(metrics.ConnsClosed)
}

// warm opens connections until n are open or the limit is reached.
func (p *connPool) warm(ctx context.Context, n int) {
	for range n - len(p.permits) {
		select {
		case p.permits <- struct{}{}:
		default:
			return
		}
		c, err := p.open(ctx)
		if err != nil {
			return
		}
		p.put(c)
	}
}

// close closes all connections at the end of the pool's term. Batches that still run
// are cut off, because their endpoint has left the term.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeInUseLocked()
	for {
		select {
		case c := <-p.idle:
			p.closeAndFreePermit(c)
		default:
			return
		}
	}
}
