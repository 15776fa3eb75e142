package fleet

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/budget"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1/fleetv1connect"
)

// Server serves the calls of other hosts.
type Server struct {
	Gateway *gateway.Gateway
	// Budget is charged for the statements that are relayed through this host; nil if nothing limits
	// them.
	Budget *budget.Budget
}

// Handler returns the URL path and the HTTP handler of the service.
func (s *Server) Handler() (string, http.Handler) {
	path, handler := fleetv1connect.NewFleetServiceHandler(s, connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes))
	return path, chargingHandler(s.Budget, handler)
}

// Exchange implements fleetv1connect.FleetServiceHandler.
func (s *Server) Exchange(_ context.Context, r *connect.Request[fleetv1.ExchangeRequest]) (*connect.Response[fleetv1.ExchangeResponse], error) {
	own := s.Gateway.ReceiveGossip(decodeGossip(r.Msg.GetNews()))
	return connect.NewResponse(&fleetv1.ExchangeResponse{News: encodeGossip(own)}), nil
}

// Fence implements fleetv1connect.FleetServiceHandler.
func (s *Server) Fence(_ context.Context, r *connect.Request[fleetv1.FenceRequest]) (*connect.Response[fleetv1.FenceResponse], error) {
	if !validFence(r.Msg.GetFence()) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("the fence is out of range"))
	}
	reply, err := s.Gateway.Fence(gateway.FenceRequest{
		Group: r.Msg.GetGroup(), Fence: decodeFence(r.Msg.GetFence()), QueryOnly: r.Msg.GetAsk(),
		Grace: clampedMicros(r.Msg.GetGraceUs(), maxFenceGrace),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return connect.NewResponse(encodeFenceReply(reply)), nil
}
