// Package fleet carries the calls between the gateways of different hosts over
// connect-go.
package fleet

import (
	"context"
	"net"
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

const (
	// dialTimeout bounds the opening of a connection between hosts, which takes two
	// round trips.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections to hosts that are not called any more.
	idleTimeout = 10 * time.Second
)

// Client calls other hosts. It implements gateway.Peers.
type Client struct {
	http    *http.Client
	mu      sync.Mutex
	clients map[string]fleetv1connect.FleetServiceClient
}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Client{
		clients: make(map[string]fleetv1connect.FleetServiceClient),
		http: &http.Client{Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: 2,
			DisableCompression:  true,
		}},
	}
}

// Exchange implements gateway.Peers. A connection on which a call timed out is
// closed by the HTTP client, so that one that went silent is not used again.
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
		client = fleetv1connect.NewFleetServiceClient(c.http, "http://"+address)
		c.clients[address] = client
	}
	return client
}
