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
	// minAge is the age from which the connection may be replaced.
	minAge time.Duration
	// answeredAt is when a call on the connection was last answered; zero if none was. It
	// is guarded by the client's mutex.
	answeredAt time.Time
}

// newPeerConn returns a connection that is opened at the first call.
func newPeerConn(address string, minAge time.Duration) *peerConn {
	transport := newTransport()
	return &peerConn{
		transport: transport, opened: time.Now(), minAge: minAge,
		client: fleetv1connect.NewFleetServiceClient(&http.Client{Transport: chargingTransport{transport}}, "http://"+address,
			connect.WithSendGzip(), connect.WithCompressMinBytes(compressMinBytes), connect.WithReadMaxBytes(maxMessageBytes)),
	}
}

// connTo returns the connection to the host at the address.
func (c *Client) connTo(address string) *peerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = newPeerConn(address, minReplaceAge)
		c.peers[address] = p
	}
	return p
}

// recordResult is called after each call with its start and result. If the call timed out
// and no other call on the connection has been answered since it began, the connection may
// be dead, so later calls use a new one. Calls that still wait on the old connection keep
// it.
//
// A host that is merely slow must not be slowed down further by new connections: each
// connection in a row on which nothing was answered is kept twice as long.
func (c *Client) recordResult(address string, p *peerConn, began time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		p.answeredAt = time.Now()
		return
	}
	if connect.CodeOf(err) != connect.CodeDeadlineExceeded || p.answeredAt.After(began) {
		return
	}
	if c.peers[address] != p || time.Since(p.opened) < p.minAge {
		return
	}
	minAge := minReplaceAge
	if p.answeredAt.IsZero() {
		minAge = min(2*p.minAge, maxReplaceAge)
	}
	c.peers[address] = newPeerConn(address, minAge)
	p.transport.CloseIdleConnections()
}
