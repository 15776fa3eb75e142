// Package fleet implements the calls between the gateways of different hosts with
// connect-go.
package fleet

import (
	"context"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/gateway"
	fleetv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1"
)

// Client calls other hosts. It implements gateway.PeerClient.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peerConn
}

// errMalformedAnswer means that another host's answer has numbers out of range.
var errMalformedAnswer = errors.New("the answer of the host is malformed")

// NewClient returns a client. It connects to a host at the first call.
func NewClient() *Client { return &Client{peers: make(map[string]*peerConn)} }

// Exchange implements gateway.PeerClient.
func (c *Client) Exchange(ctx context.Context, address string, msg gateway.GossipMessage) (gateway.GossipMessage, error) {
	peer := c.connTo(address)
	began := time.Now()
	response, err := peer.client.Exchange(ctx, connect.NewRequest(&fleetv1.ExchangeRequest{News: encodeGossip(msg)}))
	c.recordResult(address, peer, began, err)
	if err != nil {
		return gateway.GossipMessage{}, err
	}
	return decodeGossip(response.Msg.GetNews()), nil
}

// Fence implements gateway.PeerClient.
func (c *Client) Fence(ctx context.Context, address string, r gateway.FenceRequest) (gateway.FenceReply, error) {
	peer := c.connTo(address)
	began := time.Now()
	response, err := peer.client.Fence(ctx, connect.NewRequest(&fleetv1.FenceRequest{
		Group: r.Group, Fence: encodeFence(r.Fence), Ask: r.QueryOnly, GraceUs: r.Grace.Microseconds(),
	}))
	c.recordResult(address, peer, began, err)
	if err != nil {
		return gateway.FenceReply{}, err
	}
	if response.Msg.GetTerm() > logpos.MaxTerm {
		return gateway.FenceReply{}, errMalformedAnswer
	}
	return decodeFenceReply(response.Msg), nil
}

// Refused implements gateway.PeerClient.
func (c *Client) Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
