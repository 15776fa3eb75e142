package fleet

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

const (
	// relayMargin is subtracted from the timeout that is sent to the relay host, so
	// that the relay host's answer arrives before this host stops waiting.
	relayMargin = 20 * time.Millisecond
	// rollbackTimeout limits the rollback of an abandoned transaction.
	rollbackTimeout = 300 * time.Millisecond
)

// relayConn is a connection to an endpoint through a relay host. It implements
// gateway.RelayConn.
type relayConn struct {
	client        *Client
	address       string
	group         string
	endpoint      string
	transactionID uint64
	// inTransaction is true while the relay host keeps an open transaction.
	inTransaction atomic.Bool
	closed        sync.Once
	ctx           context.Context
	cancel        context.CancelFunc
	refused       func(error) bool
}

// Relay implements gateway.PeerClient.
func (c *Client) Relay(address string, e gateway.Endpoint) gateway.RelayConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &relayConn{
		client: c, address: address, group: e.Group, endpoint: e.ID, transactionID: rand.Uint64(),
		ctx: ctx, cancel: cancel, refused: c.Refused,
	}
}

// Run implements gateway.RelayConn.
func (r *relayConn) Run(deadline time.Time, request gateway.RelayRequest) (gateway.Reply, error) {
	ctx, cancel := context.WithDeadline(r.ctx, deadline)
	defer cancel()
	request.TransactionID, request.Group, request.Endpoint, request.InTransaction = r.transactionID, r.group, r.endpoint, r.inTransaction.Load()
	request.Timeout = max(time.Until(deadline)-relayMargin, 0)
	size, account := requestSize(request), request.Request.Account
	if err := take(account, size, 1); err != nil {
		return r.refusedForMemory(), nil
	}
	peer := r.client.connTo(r.address)
	began := time.Now()
	call := connect.NewRequest(encodeRelayRequest(request))
	setSize(call.Header(), size)
	response, err := peer.client.Relay(budget.NewContext(ctx, account), call)
	r.client.recordResult(r.address, peer, began, err)
	switch {
	case refusedBeforeRun(err):
		return r.refusedForMemory(), nil
	case answerDropped(err):
		return gateway.Reply{State: r.refusedForMemory().State, FromRelay: true, Dropped: true}, nil
	case err != nil:
		if r.refused(err) {
			return gateway.Reply{}, errors.WithSecondaryError(gateway.ErrNotSent, err)
		}
		return gateway.Reply{}, err
	}
	if response.Msg.GetLost() {
		return gateway.Reply{}, gateway.ErrAnswerLost
	}
	if !validReply(response.Msg) {
		return gateway.Reply{}, errMalformedAnswer
	}
	reply := decodeReply(response.Msg)
	r.inTransaction.Store(reply.State != gateway.TxIdle)
	return reply, nil
}

// refusedForMemory returns the answer to a request for which the memory for clients does not
// suffice here or at the relay host. An open transaction fails.
func (r *relayConn) refusedForMemory() gateway.Reply {
	reply := gateway.Reply{Code: gateway.CodeBusy, Detail: string(metrics.RefusedMemory), FromRelay: true, Dropped: true}
	if r.inTransaction.Load() {
		reply.State = gateway.TxFailed
	}
	return reply
}

// Alive implements gateway.Conn.
func (r *relayConn) Alive() bool { return true }

// Close implements gateway.Conn. It asks the relay host to roll back an open
// transaction. If that fails, the relay host rolls back when the transaction has been
// idle for too long.
func (r *relayConn) Close() error {
	r.closed.Do(func() {
		r.cancel()
		if r.inTransaction.Load() {
			go r.abandon()
		}
	})
	return nil
}

// abandon asks the relay host to roll the open transaction back.
func (r *relayConn) abandon() {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	_, _ = r.client.connTo(r.address).client.Relay(ctx, connect.NewRequest(&fleetv1.RelayRequest{Lease: r.transactionID, Abandon: true}))
}

// Relay implements fleetv1connect.FleetServiceHandler.
func (s *Server) Relay(ctx context.Context, r *connect.Request[fleetv1.RelayRequest]) (*connect.Response[fleetv1.RelayResponse], error) {
	if !validPosition(r.Msg.GetAfter()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the log position is out of range"))
	}
	if strings.ContainsFunc(r.Msg.GetTeam(), func(c rune) bool { return c <= ' ' || c == 0x7f }) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the team's name has a blank or a control character"))
	}
	reply, err := s.Gateway.Relay(ctx, decodeRelayRequest(r.Msg))
	if err != nil {
		return connect.NewResponse(&fleetv1.RelayResponse{Lost: true}), nil
	}
	size := replySize(reply)
	if err := take(budget.FromContext(ctx), size, 1); err != nil {
		if reply, err = s.dropRows(ctx, r.Msg, reply); err != nil {
			return connect.NewResponse(&fleetv1.RelayResponse{Lost: true}), nil
		}
		size = 0
	}
	response := connect.NewResponse(encodeReply(reply))
	setSize(response.Header(), size)
	return response, nil
}

// dropRows returns the answer to a relayed statement that ran, for whose answer the memory for
// clients does not suffice. It rolls back the statement's transaction.
func (s *Server) dropRows(ctx context.Context, m *fleetv1.RelayRequest, reply gateway.Reply) (gateway.Reply, error) {
	out := reply.WithoutRows(decodeRelayRequest(m).Request, m.GetContinues())
	out.FromRelay = true
	if reply.State == gateway.TxIdle {
		return out, nil
	}
	out.State = gateway.TxFailed
	_, err := s.Gateway.Relay(ctx, gateway.RelayRequest{TransactionID: m.GetLease(), Rollback: true})
	return out, err
}

// encodeRelayRequest converts a relay request to protobuf.
func encodeRelayRequest(r gateway.RelayRequest) *fleetv1.RelayRequest {
	out := &fleetv1.RelayRequest{
		Lease: r.TransactionID, Group: r.Group, Endpoint: r.Endpoint, Values: r.SessionValues, Team: r.Team, Database: r.Database,
		Id: r.Request.ID, Text: r.Request.Text, Op: uint32(r.Request.Op), Name: r.Request.Name,
		Args: r.Request.Args, Writes: r.Request.Writes, Primary: r.PrimaryOnly, Continues: r.InTransaction, Priority: int64(r.Priority), ObjectiveUs: r.TimeToObjective.Microseconds(), TimeoutUs: r.Timeout.Microseconds(), StartWithinUs: microsUp(r.StartWithin),
		After: encodePosition(r.Request.After),
	}
	if r.Prepared != nil {
		out.Prepared, out.PreparedWrites = r.Prepared.Definition, r.Prepared.Writes
	}
	return out
}

// microsUp returns the microseconds of d, rounded up, so that a short time does not become 0.
func microsUp(d time.Duration) int64 { return (d + time.Microsecond - 1).Microseconds() }

// startWithin converts the time within which a request must be sent. A time that is out of range
// must not mean that there is no limit.
func startWithin(us int64) time.Duration {
	if us == 0 {
		return 0
	}
	return max(clampedMicros(us, maxRelayTimeout), 1)
}

// decodeRelayRequest converts a relay request from protobuf.
func decodeRelayRequest(m *fleetv1.RelayRequest) gateway.RelayRequest {
	r := gateway.RelayRequest{
		TransactionID: m.GetLease(), Group: m.GetGroup(), Endpoint: m.GetEndpoint(), SessionValues: m.GetValues(), Team: m.GetTeam(), Database: m.GetDatabase(),
		PrimaryOnly: m.GetPrimary(), Timeout: clampedMicros(m.GetTimeoutUs(), maxRelayTimeout), Rollback: m.GetAbandon(), InTransaction: m.GetContinues(),
		Priority: int(m.GetPriority()), TimeToObjective: clampedMicros(m.GetObjectiveUs(), maxRelayTimeout),
		StartWithin: startWithin(m.GetStartWithinUs()),
		Request: gateway.Request{
			Statement: session.Statement{
				ID: m.GetId(), Text: m.GetText(), Op: session.Op(m.GetOp()),
				Name: m.GetName(), Args: m.GetArgs(), Writes: m.GetWrites(),
			},
			After: decodePosition(m.GetAfter()),
		},
	}
	if m.GetPrepared() != "" {
		r.Prepared = &session.Prepared{Definition: m.GetPrepared(), Writes: m.GetPreparedWrites()}
	}
	return r
}

// encodeReply converts a reply to protobuf.
func encodeReply(r gateway.Reply) *fleetv1.RelayResponse {
	return &fleetv1.RelayResponse{
		Rows: r.Rows, Signature: r.Signature, Code: uint32(r.Code), RawCode: r.RawCode, Detail: r.Detail,
		State: uint32(r.State), Position: encodePosition(r.Position), ByHolder: r.FromRelay, Ran: r.Ran,
	}
}

// decodeReply converts a reply from protobuf.
func decodeReply(m *fleetv1.RelayResponse) gateway.Reply {
	return gateway.Reply{
		Rows: m.GetRows(), Signature: m.GetSignature(), Code: gateway.Code(m.GetCode()),
		RawCode: m.GetRawCode(), Detail: m.GetDetail(), State: gateway.TxState(m.GetState()),
		Position: decodePosition(m.GetPosition()), FromRelay: m.GetByHolder(), Ran: m.GetRan(),
	}
}
