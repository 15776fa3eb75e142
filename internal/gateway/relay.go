package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// RelayConn is a connection to an endpoint that another host holds. That host
// replays session state, so requests carry it.
type RelayConn interface {
	Conn
	Run(deadline time.Time, w RelayWork) (Reply, error)
}

// RelayWork is one request with the session state that it needs.
type RelayWork struct {
	// Lease identifies the transaction that the request belongs to, among all
	// hosts.
	Lease    uint64
	Group    string
	Endpoint string
	Values   map[string]string
	// Prepared is the statement that the request executes; nil for others.
	Prepared *session.Prepared
	Request  Request
	// Primary work must not run unless the endpoint leads.
	Primary bool
	// Priority orders it among work that waits for the holder's connections.
	Priority int
	// Objective is the time left to meet the latency objective; zero means that there
	// is none or that it is missed.
	Objective time.Duration
	// Timeout is how long the caller waits, on top of its own transmission.
	Timeout time.Duration
	// Continues means that the lease's transaction has begun. If it is lost, the
	// request must not run outside of it.
	Continues bool
	// Abandon rolls the lease's transaction back and runs nothing.
	Abandon bool
}

// turn returns the work's place among what waits at the holder, where it arrived at
// the time.
func (w RelayWork) turn(arrived time.Time) admission.QueuedRequest {
	db := Database{Timeout: w.Timeout, Objective: w.Objective, Priority: w.Priority}
	return db.turn(arrived)
}

// ErrNotSent says that a request surely did not reach the endpoint.
var ErrNotSent = errors.New("the request was not sent")

// ErrAnswerLost says that the holder of the connection lost the answer.
var ErrAnswerLost = errors.New("the holder of the connection lost the answer")

// relayLeases holds the connections of transactions that other hosts run here.
type relayLeases struct {
	mu   sync.Mutex
	open map[uint64]*relayLease
}

// relayLease is the connection of another host's open transaction.
type relayLease struct {
	conn *conn
	// used is when the last request ended.
	used time.Time
}

// leaseIdle is how much longer than a transaction may rest a lease is kept, for
// hosts that have stopped without rolling back.
const leaseIdle = time.Second

// Relay runs a request for another host. It returns ErrAnswerLost if the request
// may have run. It may be called from any goroutine.
func (gw *Gateway) Relay(ctx context.Context, w RelayWork) (Reply, error) {
	gw.metrics.Inc(metrics.Relayed)
	held := gw.takeLease(w.Lease)
	if w.Abandon {
		if held != nil {
			gw.rollbackOn(held)
		}
		return Reply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	c, refusal := gw.relayConn(ctx, held, w)
	if refusal != nil {
		refusal.ByHolder = true
		return *refusal, nil
	}
	state := session.New()
	for name, value := range w.Values {
		state.Set(name, value)
	}
	if w.Prepared != nil {
		state.Prepare(w.Request.Name, w.Prepared.Definition, w.Prepared.Writes)
	}
	deadline, _ := ctx.Deadline()
	reply, _, err := gw.pool.run(c, w.Primary, deadline, state, held != nil, w.Request)
	if err != nil {
		gw.lost(c, err)
		gw.pool.release(c)
		return Reply{}, errors.WithSecondaryError(ErrAnswerLost, err)
	}
	if reply.State == TxIdle {
		gw.pool.release(c)
		return reply, nil
	}
	gw.pool.rest(c)
	gw.keepLease(w.Lease, c)
	return reply, nil
}

// relayConn returns the connection for the work, or the answer to work that cannot
// run here.
func (gw *Gateway) relayConn(ctx context.Context, held *conn, w RelayWork) (*conn, *Reply) {
	if held != nil {
		if w.Primary && !held.target.group.leads(boottime.Now(), held.target) {
			held.broken = true
			gw.pool.release(held)
			return nil, &Reply{Code: CodeAborted, Detail: "the endpoint may have been replaced as primary", State: TxFailed}
		}
		return held, nil
	}
	if w.Continues {
		return nil, &Reply{Code: CodeAborted, Detail: "the transaction was rolled back", State: TxFailed}
	}
	g := gw.group(w.Group)
	if g == nil {
		return nil, &Reply{Code: CodeMisrouted, Detail: "the holder does not know the group"}
	}
	g.mu.Lock()
	t := g.targets[w.Endpoint]
	leads := t != nil && g.leader(boottime.Now()) == t
	relayed := t == nil || t.throughOthers()
	g.mu.Unlock()
	if relayed {
		return nil, &Reply{Code: CodeMisrouted, Detail: "the host does not hold connections to the endpoint"}
	}
	if w.Primary && !leads {
		return nil, &Reply{Code: CodeReadOnly, Detail: "the endpoint is not known to lead"}
	}
	turn := w.turn(boottime.Now())
	c, err := gw.pool.checkout(ctx, t, nil, turn)
	for errors.Is(err, errRequeue) {
		c, err = gw.pool.checkout(ctx, t, nil, turn)
	}
	switch {
	case errors.Is(err, errEndpointDown):
		return nil, &Reply{Code: CodeMisrouted, Detail: err.Error()}
	case err != nil:
		return nil, &Reply{Code: CodeBusy, Detail: err.Error()}
	}
	return c, nil
}

// takeLease removes and returns the lease's connection, or nil.
func (gw *Gateway) takeLease(id uint64) *conn {
	gw.leases.mu.Lock()
	defer gw.leases.mu.Unlock()
	l := gw.leases.open[id]
	if l == nil {
		return nil
	}
	delete(gw.leases.open, id)
	return l.conn
}

// keepLease holds the connection for the lease's next request.
func (gw *Gateway) keepLease(id uint64, c *conn) {
	gw.leases.mu.Lock()
	defer gw.leases.mu.Unlock()
	gw.leases.open[id] = &relayLease{conn: c, used: boottime.Now()}
}

// expireLeases rolls back transactions that have rested too long.
func (gw *Gateway) expireLeases(now time.Time) {
	limit := gw.catalog().IdleTransaction + leaseIdle
	var expired []*conn
	gw.leases.mu.Lock()
	for id, l := range gw.leases.open {
		if now.Sub(l.used) > limit {
			expired = append(expired, l.conn)
			delete(gw.leases.open, id)
		}
	}
	gw.leases.mu.Unlock()
	for _, c := range expired {
		go gw.rollbackOn(c)
	}
}
