package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

const (
	// relayMargin is how much earlier the holder gives up than the caller, so that
	// the holder's answer arrives in time.
	relayMargin = 20 * time.Millisecond
	// abandonTimeout bounds the rollback of a transaction that is given up.
	abandonTimeout = 300 * time.Millisecond
)

// relayConn is a connection to an endpoint through the host that holds it. It
// implements gateway.RelayConn.
type relayConn struct {
	peers    *Client
	address  string
	group    string
	endpoint string
	lease    uint64
	// open is true while the holder keeps a transaction.
	open    bool
	ctx     context.Context
	cancel  context.CancelFunc
	refused func(error) bool
}

// Relay implements gateway.Peers.
func (c *Client) Relay(address string, e gateway.Endpoint) gateway.RelayConn {
	ctx, cancel := context.WithCancel(context.Background())
	return &relayConn{
		peers: c, address: address, group: e.Group, endpoint: e.ID, lease: rand.Uint64(),
		ctx: ctx, cancel: cancel, refused: c.NotRunning,
	}
}

// Run implements gateway.RelayConn.
func (r *relayConn) Run(deadline time.Time, w gateway.RelayRequest) (gateway.Reply, error) {
	ctx, cancel := context.WithDeadline(r.ctx, deadline)
	defer cancel()
	w.TransactionID, w.Group, w.Endpoint, w.InTransaction = r.lease, r.group, r.endpoint, r.open
	w.Timeout = max(time.Until(deadline)-relayMargin, 0)
	peer := r.peers.peer(r.address)
	response, err := peer.client.Relay(ctx, connect.NewRequest(encodeWork(w)))
	if err != nil {
		r.peers.failed(r.address, peer, err)
		if r.refused(err) {
			return gateway.Reply{}, errors.WithSecondaryError(gateway.ErrNotSent, err)
		}
		return gateway.Reply{}, err
	}
	if response.Msg.GetLost() {
		return gateway.Reply{}, gateway.ErrAnswerLost
	}
	reply := decodeReply(response.Msg)
	r.open = reply.State != gateway.TxIdle
	return reply, nil
}

// Alive implements gateway.Conn.
func (r *relayConn) Alive() bool { return true }

// Close implements gateway.Conn. The holder is told to roll back an open
// transaction; if that fails, it does so when the transaction has rested too long.
func (r *relayConn) Close() error {
	r.cancel()
	if !r.open {
		return nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), abandonTimeout)
		defer cancel()
		_, _ = r.peers.peer(r.address).client.Relay(ctx, connect.NewRequest(&fleetv1.RelayRequest{Lease: r.lease, Abandon: true}))
	}()
	return nil
}

// Relay implements fleetv1connect.FleetServiceHandler.
func (s *Server) Relay(ctx context.Context, r *connect.Request[fleetv1.RelayRequest]) (*connect.Response[fleetv1.RelayResponse], error) {
	reply, err := s.Gateway.Relay(ctx, decodeWork(r.Msg))
	if err != nil {
		return connect.NewResponse(&fleetv1.RelayResponse{Lost: true}), nil
	}
	return connect.NewResponse(encodeReply(reply)), nil
}

// encodeWork turns a relayed request into its message.
func encodeWork(w gateway.RelayRequest) *fleetv1.RelayRequest {
	out := &fleetv1.RelayRequest{
		Lease: w.TransactionID, Group: w.Group, Endpoint: w.Endpoint, Values: w.SessionValues,
		Id: w.Request.ID, Text: w.Request.Text, Op: uint32(w.Request.Op), Name: w.Request.Name,
		Args: w.Request.Args, Writes: w.Request.Writes, Primary: w.PrimaryOnly, Continues: w.InTransaction, Priority: int64(w.Priority), ObjectiveUs: w.TimeToObjective.Microseconds(), TimeoutUs: w.Timeout.Microseconds(),
		After: encodePosition(w.Request.After),
	}
	if w.Prepared != nil {
		out.Prepared, out.PreparedWrites = w.Prepared.Definition, w.Prepared.Writes
	}
	return out
}

// decodeWork reads the message of a relayed request.
func decodeWork(m *fleetv1.RelayRequest) gateway.RelayRequest {
	w := gateway.RelayRequest{
		TransactionID: m.GetLease(), Group: m.GetGroup(), Endpoint: m.GetEndpoint(), SessionValues: m.GetValues(),
		PrimaryOnly: m.GetPrimary(), Timeout: time.Duration(m.GetTimeoutUs()) * time.Microsecond, Rollback: m.GetAbandon(), InTransaction: m.GetContinues(),
		Priority: int(m.GetPriority()), TimeToObjective: time.Duration(m.GetObjectiveUs()) * time.Microsecond,
		Request: gateway.Request{
			Statement: session.Statement{
				ID: m.GetId(), Text: m.GetText(), Op: session.Op(m.GetOp()),
				Name: m.GetName(), Args: m.GetArgs(), Writes: m.GetWrites(),
			},
			After: decodePosition(m.GetAfter()),
		},
	}
	if m.GetPrepared() != "" {
		w.Prepared = &session.Prepared{Definition: m.GetPrepared(), Writes: m.GetPreparedWrites()}
	}
	return w
}

// encodeReply turns a reply into its message.
func encodeReply(r gateway.Reply) *fleetv1.RelayResponse {
	return &fleetv1.RelayResponse{
		Rows: r.Rows, Signature: r.Signature, Code: uint32(r.Code), RawCode: r.RawCode, Detail: r.Detail,
		State: uint32(r.State), Position: encodePosition(r.Position), ByHolder: r.FromRelay,
	}
}

// decodeReply reads the message of a reply.
func decodeReply(m *fleetv1.RelayResponse) gateway.Reply {
	return gateway.Reply{
		Rows: m.GetRows(), Signature: m.GetSignature(), Code: gateway.Code(m.GetCode()),
		RawCode: m.GetRawCode(), Detail: m.GetDetail(), State: gateway.TxState(m.GetState()),
		Position: decodePosition(m.GetPosition()), FromRelay: m.GetByHolder(),
	}
}
