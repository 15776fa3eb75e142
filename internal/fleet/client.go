// Package fleet carries the calls between the gateways of different hosts over
// connect-go.
package fleet

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1/fleetv1connect"
)

// Client calls other hosts. It implements gateway.Peers.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]fleetv1connect.FleetServiceClient
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		clients: make(map[string]fleetv1connect.FleetServiceClient),
		http:    &http.Client{Transport: newTransport()},
	}
}

// Exchange implements gateway.Peers. A connection that goes silent is closed by
// its pings, so that later calls open a new one.
func (c *Client) Exchange(ctx context.Context, address string, n gateway.News) (gateway.News, error) {
	response, err := c.client(address).Exchange(ctx, connect.NewRequest(&fleetv1.ExchangeRequest{News: encodeNews(n)}))
	if err != nil {
		return gateway.News{}, err
	}
	return decodeNews(response.Msg.GetNews()), nil
}

// Fence implements gateway.Peers.
func (c *Client) Fence(ctx context.Context, address string, r gateway.FenceRequest) (gateway.FenceReply, error) {
	response, err := c.client(address).Fence(ctx, connect.NewRequest(&fleetv1.FenceRequest{
		Group: r.Group, Fence: encodeFence(r.Fence), Ask: r.Ask, GraceUs: r.Grace.Microseconds(),
	}))
	if err != nil {
		return gateway.FenceReply{}, err
	}
	return gateway.FenceReply{
		Term:        response.Msg.GetTerm(),
		AnsweredAgo: time.Duration(response.Msg.GetAnsweredAgoUs()) * time.Microsecond,
		Direct:      response.Msg.GetDirect(),
	}, nil
}

// NotRunning implements gateway.Peers: a host that is up refuses connections to a
// port that nobody listens on.
func (c *Client) NotRunning(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// client returns the client of an address.
func (c *Client) client(address string) fleetv1connect.FleetServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = fleetv1connect.NewFleetServiceClient(c.http, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
		c.clients[address] = client
	}
	return client
}
