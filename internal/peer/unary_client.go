package peer

import (
	"context"
	"net/http"
	"sync"

	"connectrpc.com/connect"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1/peerv1connect"
)

// maxAddresses limits the addresses for which state is kept. Hosts are replaced
// all the time, and an old address may never be used again.
const maxAddresses = 10_000

// UnaryClient makes unary calls to other daemons. A call whose ctx has no
// deadline times out after 1 s. An error of a call means only that no answer
// arrived.
type UnaryClient struct {
	cfg       Config
	transport *http.Transport
	// background carries the calls to neighbours, which are made every few
	// seconds.
	background *http.Transport

	mu      sync.Mutex
	clients map[clientKey]peerv1connect.PeerServiceClient
}

// clientKey identifies the client of a peer.
type clientKey struct {
	address    string
	background bool
}

// NewUnaryClient returns a client that does not share connections with the
// exchange streams, so that their bulk data does not delay control messages.
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

// PreVote asks the peer whether the owner of a group is alive.
func (c *UnaryClient) PreVote(ctx context.Context, address string, req *peerv1.PreVoteRequest) (*peerv1.PreVoteResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, false}).PreVote)
}

// Heartbeat sends this daemon's state to the peer. A heartbeat that names no
// owned group is background traffic.
func (c *UnaryClient) Heartbeat(ctx context.Context, address string, req *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, len(req.GetOwned()) == 0}).Heartbeat)
}

// Handover offers a group to the peer.
func (c *UnaryClient) Handover(ctx context.Context, address string, req *peerv1.HandoverRequest) (*peerv1.HandoverResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, false}).Handover)
}

// FetchManifest fetches the peer's manifest, or its changes since a generation.
func (c *UnaryClient) FetchManifest(ctx context.Context, address string, req *peerv1.FetchManifestRequest) (*peerv1.FetchManifestResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, true}).FetchManifest)
}

// QueryOutcome asks an owner for the outcome of a request that was sent to it.
func (c *UnaryClient) QueryOutcome(ctx context.Context, address string, req *peerv1.QueryOutcomeRequest) (*peerv1.QueryOutcomeResponse, error) {
	return unary(ctx, c, req, c.client(clientKey{address, false}).QueryOutcome)
}

// Locate asks the peer for the owner of a pool; nil if the peer knows none.
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
		client = peerv1connect.NewPeerServiceClient(&http.Client{Transport: transport}, c.cfg.baseURL(key.address), clientOptions()...)
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
