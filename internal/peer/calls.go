package peer

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1/peerv1connect"
)

// maxAddresses bounds what is kept per address; hosts are replaced all the time,
// and their addresses need not come back.
const maxAddresses = 10_000

// UnaryClient makes unary calls to other daemons. A call whose ctx has no deadline
// ends after 1 s. Every error of a call says only that no answer arrived.
type UnaryClient struct {
	cfg       Config
	transport *http.Transport
	// background carries the calls to neighbours, which come every few seconds.
	background *http.Transport

	mu      sync.Mutex
	clients map[clientKey]peerv1connect.PeerServiceClient
}

// clientKey names the client of a peer.
type clientKey struct {
	address    string
	background bool
}

// NewUnaryClient returns a client with connections of its own, so that bulk data of
// the exchange streams does not delay control messages.
func NewUnaryClient(cfg Config) *UnaryClient {
	cfg = cfg.withDefaults()
	return &UnaryClient{
		cfg:        cfg,
		transport:  newTransport(cfg, callPingAfter, callPingTimeout),
		background: newBackgroundTransport(cfg),
		clients:    make(map[clientKey]peerv1connect.PeerServiceClient),
	}
}

// Close closes the idle connections.
func (c *UnaryClient) Close() {
	c.transport.CloseIdleConnections()
	c.background.CloseIdleConnections()
}

// PreVote asks whether the peer still hears from the owner of a group.
func (c *UnaryClient) PreVote(ctx context.Context, address string, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, false}).PreVote)
}

// Heartbeat sends this daemon's state to the peer. One that names no group is
// background traffic.
func (c *UnaryClient) Heartbeat(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, len(req.GetOwned()) == 0}).Heartbeat)
}

// Handover offers a group to the peer.
func (c *UnaryClient) Handover(ctx context.Context, address string, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, false}).Handover)
}

// FetchManifest returns the changes of the manifest that the peer has.
func (c *UnaryClient) FetchManifest(ctx context.Context, address string, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, true}).FetchManifest)
}

// QueryOutcome asks the owner that a request was addressed to.
func (c *UnaryClient) QueryOutcome(ctx context.Context, address string, req *peerv1.QueryOutcomeRequest) (*peerv1.QueryOutcomeResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, false}).QueryOutcome)
}

// Locate asks the peer who owns a pool; nil if the peer knows no owner.
func (c *UnaryClient) Locate(ctx context.Context, address, pool string) (*peerv1.Location, error) {
	resp, err := unary(ctx, c, &peerv1.LocateRequest{Pool: pool}, c.client(clientKey{address, false}).Locate)
	if err != nil {
		return nil, err
	}
	return resp.GetOwner(), nil
}

// client returns the client of a peer.
func (c *UnaryClient) client(key clientKey) peerv1connect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[key]
	if !ok {
		if len(c.clients) >= maxAddresses {
			clear(c.clients)
		}
		transport := c.transport
		if key.background {
			transport = c.background
		}
		client = peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, c.cfg.url(key.address), clientOptions()...)
		c.clients[key] = client
	}
	return client
}

// unary makes one call and unwraps the response.
func unary[Req, Resp any](
	ctx context.Context,
	c *UnaryClient,
	msg *Req,
	call func(context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
) (*Resp, error) {
	if _, ok := ctx.Deadline(); !ok {
		limited, cancel := context.WithTimeout(ctx, connectTimeout)
		defer cancel()
		ctx = limited
	}
	req := connect.NewRequest(msg)
	req.Header().Set(addressHeader, c.cfg.Address)
	resp, err := call(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
