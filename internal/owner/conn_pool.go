package owner

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/socket"
)

// reservedConns are left to the control connections of this and other daemons.
const reservedConns = 2

// connPool holds the connections to one endpoint in one term. It never opens
// more than the endpoint's limit, less the reserve.
type connPool struct {
	pool    manifest.Pool
	address string
	term    uint64
	metrics *metrics.Registry
	// permits holds one token for each connection that may be open or opening.
	permits chan struct{}

	// idle holds open connections that are proven idle.
	idle chan *conn

	mu     sync.Mutex
	closed bool
	// inUse holds the connections that carry a batch or a transaction.
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

// get returns an idle connection or opens one. It waits while the limit is
// reached and no connection is idle.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, err
	}
	if !p.use(c) {
		p.discard(c)
		return nil, errPoolClosed
	}
	return c, nil
}

// use records that the connection is in use, unless the pool is closed.
func (p *connPool) use(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.inUse[c] = struct{}{}
	return true
}

func (p *connPool) take(ctx context.Context) (*conn, error) {
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

func (p *connPool) usable(c *conn) bool {
	if socket.Alive(c.nc) {
		return true
	}
	p.discard(c)
	return false
}

// open dials with a permit that the caller took.
func (p *connPool) open(ctx context.Context) (*conn, error) {
	c, err := dial(ctx, p.pool, p.address, p.term)
	if err != nil {
		<-p.permits
		return nil, err
	}
	p.metrics.Inc(metrics.ConnsOpened)
	return c, nil
}

// put takes a connection back. It is kept only if it is proven idle, no cancel
// request may still reach it, and the term is still the pool's.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	if !c.idle || c.canceled || p.closed {
		p.drop(c)
		return
	}
	p.idle <- c
}

// discard closes a connection that was in use.
func (p *connPool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inUse, c)
	p.drop(c)
}

// breakInUse closes the connections in use, so that batches which wait for an
// endpoint that no longer answers end now. Their users put them back.
func (p *connPool) breakInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakInUseLocked()
}

func (p *connPool) breakInUseLocked() {
	for c := range p.inUse {
		c.close()
	}
}

// drop closes a connection and frees its permit.
func (p *connPool) drop(c *conn) {
	c.close()
	<-p.permits
	p.metrics.Inc(metrics.ConnsClosed)
}

// warm opens connections in advance until n are open or the limit is reached.
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

// close ends the pool with its term: batches that still run are cut off, since
// their endpoint has left the term.
func (p *connPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.breakInUseLocked()
	for {
		select {
		case c := <-p.idle:
			p.drop(c)
		default:
			return
		}
	}
}
