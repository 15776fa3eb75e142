// Package fleet carries the calls between the gateways of different hosts over
// connect-go.
package fleet

import (
	"context"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// Client calls other hosts. It implements gateway.Peers.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peerConn
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{peers: make(map[string]*peerConn)} }

// Exchange implements gateway.Peers.
func (c *Client) Exchange(ctx context.Context, address string, n gateway.GossipMessage) (gateway.GossipMessage, error) {
	peer := c.peer(address)
	response, err := peer.client.Exchange(ctx, connect.NewRequest(&fleetv1.ExchangeRequest{News: encodeNews(n)}))
	if err != nil {
		c.failed(address, peer, err)
		return gateway.GossipMessage{}, err
	}
	return decodeNews(response.Msg.GetNews()), nil
}

// Fence implements gateway.Peers.
func (c *Client) Fence(ctx context.Context, address string, r gateway.FenceRequest) (gateway.FenceReply, error) {
	peer := c.peer(address)
	response, err := peer.client.Fence(ctx, connect.NewRequest(&fleetv1.FenceRequest{
		Group: r.Group, Fence: encodeFence(r.Fence), Ask: r.QueryOnly, GraceUs: r.Grace.Microseconds(),
	}))
	if err != nil {
		c.failed(address, peer, err)
		return gateway.FenceReply{}, err
	}
	return gateway.FenceReply{
		Term:        response.Msg.GetTerm(),
		PrimaryAnsweredAgo: time.Duration(response.Msg.GetAnsweredAgoUs()) * time.Microsecond,
		Direct:      response.Msg.GetDirect(),
	}, nil
}

// NotRunning implements gateway.Peers: a host that is up refuses connections to a
// port that nobody listens on.
func (c *Client) NotRunning(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
