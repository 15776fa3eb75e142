package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/beryltrestle/beryltrestle/coord/quota"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// maxRetryAfter limits the time in the answer of a lender.
const maxRetryAfter = time.Hour

// Lend implements gateway.PeerClient.
func (c *Client) Lend(ctx context.Context, address string, r quota.Request) (quota.Grant, error) {
	peer := c.connTo(address)
	began := time.Now()
	response, err := peer.client.Lend(ctx, connect.NewRequest(&fleetv1.LendRequest{
		Team: r.Team, Wanted: int64(r.Wanted), Extra: int64(r.Extra),
	}))
	c.recordResult(address, peer, began, err)
	if err != nil {
		return quota.Grant{}, err
	}
	m := response.Msg
	return quota.Grant{
		Lender: !m.GetNotLender(), Tokens: int(m.GetTokens()), Extra: int(m.GetExtra()),
		Delayed: int(m.GetDelayed()), Delay: clampedMicros(m.GetDelayUs(), maxRetryAfter),
		RetryAfter: clampedMicros(m.GetRetryAfterUs(), maxRetryAfter),
	}, nil
}

// Lend implements fleetv1connect.FleetServiceHandler.
func (s *Server) Lend(_ context.Context, r *connect.Request[fleetv1.LendRequest]) (*connect.Response[fleetv1.LendResponse], error) {
	m := r.Msg
	g := s.Gateway.Lend(quota.Request{Team: m.GetTeam(), Wanted: int(m.GetWanted()), Extra: int(m.GetExtra())})
	return connect.NewResponse(&fleetv1.LendResponse{
		NotLender: !g.Lender, Tokens: int64(g.Tokens), Extra: int64(g.Extra), RetryAfterUs: g.RetryAfter.Microseconds(),
		Delayed: int64(g.Delayed), DelayUs: g.Delay.Microseconds() + 1,
	}), nil
}
