package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// RelayConn is a connection to an endpoint through a relay host, that is, a host with
// direct connections to the endpoint. The relay host sets the session state, so every
// request carries it.
type RelayConn interface {
	Conn
	// Run sends the request to the relay host and returns the answer. After an error
	// other than ErrNotSent the request may have run.
	Run(deadline time.Time, r RelayRequest) (Reply, error)
}

// RelayRequest is a request for a relay host, with the session state that it needs.
type RelayRequest struct {
	// TransactionID identifies the transaction that the request belongs to, uniquely
	// among all hosts.
	TransactionID uint64
	Group         string
	Endpoint      string
	// Team is the team whose caller sent the request; empty if it belongs to none.
	Team          string
	SessionValues map[string]string
	// Database is the name of the database that the request is for. Response times are
	// compared within a database.
	Database string
	// Prepared is the prepared statement that the request executes; nil for other
	// requests.
	Prepared *session.Prepared
	Request  Request
	// PrimaryOnly requests must not run unless the endpoint is the primary.
	PrimaryOnly bool
	// Priority orders the request among those that wait for the relay host's
	// connections.
	Priority int
	// TimeToObjective is the time left to meet the latency objective; zero means that
	// there is none.
	TimeToObjective time.Duration
	// Timeout is how long the sender waits for the answer, not counting network
	// transfer.
	Timeout time.Duration
	// StartWithin is the time within which the request must be sent to the endpoint; zero means
	// that there is no limit.
	StartWithin time.Duration
	// InTransaction means that the transaction has begun on the relay host. If the
	// relay host no longer has it, the request must not run.
	InTransaction bool
	// Rollback rolls back the transaction instead of running the request.
	Rollback bool
}

// queuedRequest returns the queue parameters of a request that arrived at the given
// time.
func (r RelayRequest) queuedRequest(arrived time.Time) admission.QueuedRequest {
	db := Database{Timeout: r.Timeout, LatencyObjective: r.TimeToObjective, Priority: r.Priority}
	return db.queuedRequest(arrived)
}

// startBy returns the time by which a request that arrived at the given time must be sent to the
// endpoint; zero if there is no limit.
func (r RelayRequest) startBy(arrived time.Time) time.Time {
	if r.StartWithin == 0 {
		return time.Time{}
	}
	return arrived.Add(r.StartWithin)
}

// sessionState returns the state of the session that sent the request, as far as the request needs it.
func (r RelayRequest) sessionState() *session.State {
	state := session.New()
	for name, value := range r.SessionValues {
		state.Set(name, value)
	}
	if r.Prepared != nil {
		state.Prepare(r.Request.Name, r.Prepared.Definition, r.Prepared.Writes)
	}
	return state
}

// ErrNotSent means that the request certainly did not reach the endpoint.
var ErrNotSent = errors.New("the request was not sent")

// ErrAnswerLost means that the relay host did not get the endpoint's answer.
var ErrAnswerLost = errors.New("the relay host did not get the endpoint's answer")

// relayedTransactions holds the open transactions that this host runs for other hosts.
type relayedTransactions struct {
	mu   sync.Mutex
	open map[uint64]*relayedTransaction
	// running is the number of requests that this host runs for other hosts.
	running int
}

// begin records that a request begins, and returns the function to call at its end.
func (rt *relayedTransactions) begin() func() {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.running++
	return func() {
		rt.mu.Lock()
		defer rt.mu.Unlock()
		rt.running--
	}
}

// count returns the number of running requests and open transactions.
func (rt *relayedTransactions) count() int {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	return rt.running + len(rt.open)
}

// relayedTransaction is an open transaction that this host runs for another host.
type relayedTransaction struct {
	conn *conn
	// lastUsed is when the last request ended.
	lastUsed time.Time
}

// relayedIdleMargin is how much longer than the idle timeout a relayed transaction is
// kept. It is then rolled back, because the other host has stopped without doing so.
const relayedIdleMargin = time.Second

// Relay runs a request for another host. It returns ErrAnswerLost if the request may
// have run. It may be called from any goroutine.
func (gw *Gateway) Relay(ctx context.Context, r RelayRequest) (Reply, error) {
	gw.metrics.Inc(metrics.RelayedRequests)
	defer gw.relayedTransactions.begin()()
	arrived := boottime.Now()
	held := gw.takeRelayedTransaction(r.TransactionID)
	if r.Rollback {
		if held != nil {
			gw.rollbackOn(held)
		}
		return Reply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	state := r.sessionState()
	c, refusal := gw.relayConn(ctx, held, r, state)
	if refusal != nil {
		refusal.FromRelay = true
		return *refusal, nil
	}
	deadline, _ := ctx.Deadline()
	r.Request.Account, r.Request.StartBy = budget.FromContext(ctx), r.startBy(arrived)
	reply, _, err := gw.pool.run(c, r.PrimaryOnly, deadline, state, held != nil, r.Request)
	if notStarted(err) {
		c.broken = c.broken || held != nil
		gw.pool.release(c)
		return refuseRelayed(held != nil, r.PrimaryOnly && !errors.Is(err, errLate)), nil
	}
	if err != nil {
		gw.connectionLost(c, err)
		gw.pool.release(c)
		switch {
		case errors.Is(err, errUnproven):
			return refuseUnproven(held != nil, err), nil
		case errors.Is(err, errReplayRefused):
			return refuseReplay(held != nil, err), nil
		}
		return Reply{}, errors.WithSecondaryError(ErrAnswerLost, err)
	}
	if reply.Dropped {
		reply = reply.WithoutRows(r.Request, held != nil)
		reply.FromRelay = true
		if reply.State != TxIdle {
			gw.rollbackOn(c)
			reply.State = TxFailed
			return reply, nil
		}
	}
	if reply.State == TxIdle {
		gw.pool.release(c)
		return reply, nil
	}
	gw.pool.markIdleInTransaction(c)
	gw.keepRelayedTransaction(r.TransactionID, c)
	return reply, nil
}

// refuseRelayed answers a request that was not sent, as this host may not use its endpoint any
// more.
func refuseRelayed(inTransaction, primaryOnly bool) Reply {
	switch {
	case inTransaction:
		return Reply{Code: CodeAborted, Detail: "the transaction cannot go on at its endpoint", State: TxFailed, FromRelay: true}
	case primaryOnly:
		return Reply{Code: CodeReadOnly, Detail: "the endpoint is not known to lead", FromRelay: true}
	}
	return Reply{Code: CodeBusy, Detail: "the request is late or the endpoint is leaving", FromRelay: true}
}

// refuseUnproven answers a request that was not sent, as its endpoint did not answer before. The
// connection, and with it an open transaction, has ended.
func refuseUnproven(inTransaction bool, err error) Reply {
	if inTransaction {
		return Reply{Code: CodeAborted, Detail: "the transaction's endpoint does not answer", State: TxFailed, FromRelay: true}
	}
	return Reply{Code: CodeMisrouted, Detail: err.Error(), FromRelay: true}
}

// refuseReplay answers a request that was not sent, as its endpoint has refused the state of the
// session. The connection, and with it an open transaction, has ended.
func refuseReplay(inTransaction bool, err error) Reply {
	if inTransaction {
		return Reply{Code: CodeAborted, Detail: err.Error(), State: TxFailed, FromRelay: true}
	}
	return Reply{Code: CodeBusy, Detail: err.Error(), FromRelay: true}
}

// relayConn returns a connection for the request of a session, or the reply if the request cannot
// run here. held is the connection of the request's transaction, or nil.
func (gw *Gateway) relayConn(ctx context.Context, held *conn, r RelayRequest, state *session.State) (*conn, *Reply) {
	if held != nil {
		return held, nil
	}
	if r.InTransaction {
		return nil, &Reply{Code: CodeAborted, Detail: "the transaction was rolled back", State: TxFailed}
	}
	g := gw.group(r.Group)
	if g == nil {
		return nil, &Reply{Code: CodeMisrouted, Detail: "the holder does not know the group"}
	}
	g.mu.Lock()
	t := g.targets[r.Endpoint]
	now := boottime.Now()
	isPrimary := t != nil && t.startExclusion(now, true, true) == notExcluded
	noDirectPath := t == nil || t.usesRelay()
	g.mu.Unlock()
	if noDirectPath {
		return nil, &Reply{Code: CodeMisrouted, Detail: "the host does not hold connections to the endpoint"}
	}
	if r.PrimaryOnly && !isPrimary {
		refusal := refuseRelayed(false, true)
		return nil, &refusal
	}
	request := connRequest{QueuedRequest: r.queuedRequest(boottime.Now()), team: r.Team, database: r.Database, state: state}
	c, err := gw.pool.checkout(ctx, t, request)
	for errors.Is(err, errRequeue) {
		c, err = gw.pool.checkout(ctx, t, request)
	}
	switch {
	case errors.Is(err, errEndpointDown):
		return nil, &Reply{Code: CodeMisrouted, Detail: err.Error()}
	case err != nil:
		return nil, &Reply{Code: CodeBusy, Detail: err.Error()}
	}
	return c, nil
}

// takeRelayedTransaction removes the transaction and returns its connection, or nil if
// there is no such transaction.
func (gw *Gateway) takeRelayedTransaction(id uint64) *conn {
	gw.relayedTransactions.mu.Lock()
	defer gw.relayedTransactions.mu.Unlock()
	tx := gw.relayedTransactions.open[id]
	if tx == nil {
		return nil
	}
	delete(gw.relayedTransactions.open, id)
	return tx.conn
}

// keepRelayedTransaction keeps the connection for the transaction's next request.
func (gw *Gateway) keepRelayedTransaction(id uint64, c *conn) {
	gw.relayedTransactions.mu.Lock()
	defer gw.relayedTransactions.mu.Unlock()
	gw.relayedTransactions.open[id] = &relayedTransaction{conn: c, lastUsed: boottime.Now()}
}

// expireRelayedTransactions rolls back transactions that have been idle for too long.
func (gw *Gateway) expireRelayedTransactions(now time.Time) {
	limit := gw.catalog().IdleTransactionTimeout + relayedIdleMargin
	var expired []*conn
	gw.relayedTransactions.mu.Lock()
	for id, tx := range gw.relayedTransactions.open {
		if now.Sub(tx.lastUsed) > limit {
			expired = append(expired, tx.conn)
			delete(gw.relayedTransactions.open, id)
		}
	}
	gw.relayedTransactions.mu.Unlock()
	for _, c := range expired {
		go gw.rollbackOn(c)
	}
}
