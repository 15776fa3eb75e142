package fleet

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1/fleetv1connect"
)

// peerConn is the HTTP/2 connection to one host. All calls to the host share it.
type peerConn struct {
	transport *http.Transport
	client    fleetv1connect.FleetServiceClient
	opened    time.Time
}

// newPeerConn returns a connection that is opened at the first call.
func newPeerConn(address string) *peerConn {
	transport := newTransport()
	return &peerConn{
		transport: transport, opened: time.Now(),
		client: fleetv1connect.NewFleetServiceClient(&http.Client{Transport: transport}, "http://"+address,
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes)),
	}
}

// connTo returns the connection to the host at the address.
func (c *Client) connTo(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeerConn(address)
		c.peers[address] = p
	}
	return p
}

// replaceAfterTimeout is called after a failed call. If the call timed out, the
// connection may be dead, so later calls use a new one. Calls that still wait on the
// old connection keep it.
func (c *Client) replaceAfterTimeout(address string, p *peerConn, err error) {
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] != p || time.Since(p.opened) < minReplaceAge {
		return
	}
	c.peers[address] = newPeerConn(address)
	p.transport.CloseIdleConnections()
}
