package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/beryltrestle/beryltrestle/coord/quota"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// maxLendTimes limits the times in the answer of a lender.
const maxLendTimes = time.Hour

// Lend implements gateway.PeerClient.
func (c *Client) Lend(ctx context.Context, address string, r quota.Request) (quota.Grant, error) {
	peer := c.connTo(address)
	began := time.Now()
	response, err := peer.client.Lend(ctx, connect.NewRequest(&fleetv1.LendRequest{
		Team: r.Team, Wanted: int64(r.Wanted), Extra: int64(r.Extra), Returned: int64(r.Returned), ReturnedTo: r.ReturnedTo,
	}))
	c.recordResult(address, peer, began, err)
	if err != nil {
		return quota.Grant{}, err
	}
	m := response.Msg
	return quota.Grant{
		Lender: !m.GetNotLender(), Incarnation: m.GetIncarnation(), Tokens: int(m.GetTokens()),
		Life: clampedMicros(m.GetLifeUs(), maxLendTimes), RetryAfter: clampedMicros(m.GetRetryAfterUs(), maxLendTimes),
	}, nil
}

// Lend implements fleetv1connect.FleetServiceHandler.
func (s *Server) Lend(_ context.Context, r *connect.Request[fleetv1.LendRequest]) (*connect.Response[fleetv1.LendResponse], error) {
	m := r.Msg
	g := s.Gateway.Lend(quota.Request{
		Team: m.GetTeam(), Wanted: int(m.GetWanted()), Extra: int(m.GetExtra()), Returned: int(m.GetReturned()), ReturnedTo: m.GetReturnedTo(),
	})
	return connect.NewResponse(&fleetv1.LendResponse{
		NotLender: !g.Lender, Incarnation: g.Incarnation, Tokens: int64(g.Tokens),
		LifeUs: g.Life.Microseconds(), RetryAfterUs: g.RetryAfter.Microseconds(),
	}), nil
}
