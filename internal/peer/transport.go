package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Limits of connections between daemons.
const (
	connectTimeout = time.Second
	// probeAfter and probeTimeout together bound the time after which a stream
	// with pending requests finds that its peer is silent; they stay below 1 s.
	// A stream without pending requests sends no probes: with thousands of peers,
	// probes on idle streams would exceed the control budget of 19 KB/s.
	probeAfter   = 400 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	// callPingAfter and callPingTimeout discard dead connections of unary calls,
	// each of which has a timeout of its own.
	callPingAfter   = 2 * time.Second
	callPingTimeout = time.Second
	idleConnTimeout = 5 * time.Second
	// serverPingAfter and serverPingTimeout find entries that have vanished, so
	// that their transactions don't hold connections to endpoints.
	serverPingAfter   = 10 * time.Second
	serverPingTimeout = 2 * time.Second
	// keepAliveIdle replaces Go's default of 15 s between TCP keepalives, which
	// would be most of the control traffic of a daemon with thousands of peers.
	keepAliveIdle = 2 * time.Minute
	// backgroundPingAfter is callPingAfter on connections to neighbours. Their
	// calls have deadlines and are repeated elsewhere, so that a connection that
	// broke silently needs only to be replaced at some time.
	backgroundPingAfter = 10 * time.Second
	// backgroundIdleTimeout exceeds the time between two calls to a neighbour.
	backgroundIdleTimeout = 30 * time.Second
	// maxFrameBytes is the largest message between daemons; a request holds a
	// batch of up to 16 MB.
	maxFrameBytes = 64 << 20
	// receiveBuffer is the HTTP/2 window; receivers never block, so it only has
	// to cover the delay between daemons.
	receiveBuffer = 3 << 20
)

// addressHeader carries the sender's peer address.
const addressHeader = "Beryltrestle-Peer-Address"

// newTransport returns an HTTP/2 transport. A pingAfter of 0 means no pings.
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

// newBackgroundTransport returns a transport for rare calls. Frequent pings on
// each connection to a neighbour would cost more than the calls themselves.
func newBackgroundTransport(cfg Config) *http.Transport {
	t := newTransport(cfg, backgroundPingAfter, callPingTimeout)
	t.IdleConnTimeout = backgroundIdleTimeout
	return t
}

// protocols allows only HTTP/2, with TLS and without.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// http2Config is used on both sides.
func http2Config(pingAfter, pingTimeout time.Duration) *http.HTTP2Config {
	return &http.HTTP2Config{
		SendPingTimeout:               pingAfter,
		PingTimeout:                   pingTimeout,
		MaxReceiveBufferPerConnection: receiveBuffer,
		MaxReceiveBufferPerStream:     receiveBuffer,
	}
}

// clientOptions switches compression off: it costs more processor time than the
// bytes it saves between daemons.
func clientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithAcceptCompression("gzip", nil, nil),
		connect.WithReadMaxBytes(maxFrameBytes),
	}
}
