package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Timeouts and sizes of connections between daemons.
const (
	connectTimeout = time.Second
	// probeAfterSilence and probeTimeout together limit the time until a stream
	// with pending requests detects an unresponsive peer; the sum stays below 1 s.
	// A stream without pending requests sends no probes: with thousands of peers,
	// probes on idle streams would exceed the budget of 19 KB/s for control
	// traffic.
	probeAfterSilence = 400 * time.Millisecond
	probeTimeout      = 500 * time.Millisecond
	// callPingAfter and callPingTimeout detect broken connections of unary calls,
	// each of which also has its own timeout.
	callPingAfter   = 2 * time.Second
	callPingTimeout = time.Second
	idleConnTimeout = 5 * time.Second
	// serverPingAfter and serverPingTimeout detect unreachable entries, so that
	// their transactions do not hold connections to endpoints.
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 2 * time.Second
	// keepAliveIdle replaces Go's default of 15 s between TCP keepalives, which
	// would be most of the control traffic of a daemon with thousands of peers.
	keepAliveIdle = 2 * time.Minute
	// backgroundPingAfter replaces callPingAfter on connections to neighbours.
	// Calls to neighbours have deadlines and are repeated with other hosts, so
	// that a silently broken connection need not be replaced soon.
	backgroundPingAfter = 10 * time.Second
	// backgroundIdleTimeout is longer than the time between two calls to a
	// neighbour.
	backgroundIdleTimeout = 30 * time.Second
	// maxMessageBytes is the largest message between daemons; a request holds a
	// batch of up to 16 MB.
	maxMessageBytes = 64 << 20
	// receiveWindow is the HTTP/2 flow-control window. Receivers never block, so
	// that it only has to cover the latency between daemons.
	receiveWindow = 3 << 20
)

// addressHeader is the HTTP header that carries the sender's peer address.
const addressHeader = "Beryltrestle-Peer-Address"

// newTransport returns an HTTP/2 transport. A pingAfter of 0 disables pings.
func newTransport(cfg Config, pingAfter, pingTimeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout, KeepAlive: keepAliveIdle}).DialContext,
		TLSClientConfig:     cfg.TLS.Clone(),
		TLSHandshakeTimeout: connectTimeout,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		Protocols:           protocols(),
		HTTP2:               http2Config(pingAfter, pingTimeout),
	}
}

// newBackgroundTransport returns a transport for calls to neighbours. At their
// low rate, frequent pings on each connection would cost more than the calls.
func newBackgroundTransport(cfg Config) *http.Transport {
	t := newTransport(cfg, backgroundPingAfter, callPingTimeout)
	t.IdleConnTimeout = backgroundIdleTimeout
	return t
}

// protocols allows only HTTP/2, with and without TLS.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// http2Config returns the HTTP/2 settings of clients and servers.
func http2Config(pingAfter, pingTimeout time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:               pingAfter,
		PingTimeout:                   pingTimeout,
		MaxReceiveBufferPerConnection: receiveWindow,
		MaxReceiveBufferPerStream:     receiveWindow,
	}
}

// clientOptions disables compression, which costs more CPU time than the saved
// bytes are worth between daemons.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}
