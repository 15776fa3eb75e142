package fleet

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/fleet/v1/fleetv1connect"
)

// peerConn is the connection to one host, which all calls to it share.
type peerConn struct {
	transport *http.Transport
	client    fleetv1connect.FleetServiceClient
	opened    time.Time
}

// newPeerConn returns a connection that is opened with the first call.
func newPeerConn(address string) *peerConn {
	transport := newTransport()
	return &peerConn{
		transport: transport, opened: time.Now(),
		client: fleetv1connect.NewFleetServiceClient(&http.Client{Transport: transport}, "http://"+address,
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressFrom)),
	}
}

// peer returns the connection to the address.
func (c *Client) peer(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeerConn(address)
		c.peers[address] = p
	}
	return p
}

// failed takes note of a call without an answer in time: its connection may have gone
// silent, so that later calls use a new one. Calls that wait on the old one keep it.
func (c *Client) failed(address string, p *peerConn, err error) {
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers[address] != p || time.Since(p.opened) < replaceAfter {
		return
	}
	c.peers[address] = newPeerConn(address)
	p.transport.CloseIdleConnections()
}
