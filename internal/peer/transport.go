package peer

import (
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Limits of connections between daemons. A silent peer is found after
// pingAfter plus pingTimeout, which together stay below 1 s.
const (
	connectTimeout  = time.Second
	pingAfter       = 400 * time.Millisecond
	pingTimeout     = 500 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	// backgroundPingAfter is pingAfter on connections to neighbours. Their calls
	// have deadlines and are repeated elsewhere, so that a connection that broke
	// silently needs only to be replaced at some time.
	backgroundPingAfter = 10 * time.Second
	// servicePingAfter is pingAfter on accepted connections. Where a silent peer
	// must be found sooner, that peer's own pings arrive every pingAfter.
	servicePingAfter = 2 * time.Second
	// maxFrameBytes is the largest message between daemons; a request holds a
	// batch of up to 16 MB.
	maxFrameBytes = 64 << 20
	// receiveBuffer is the HTTP/2 window; receivers never block, so it only has
	// to cover the delay between daemons.
	receiveBuffer = 3 << 20
)

// addressHeader carries the sender's peer address.
const addressHeader = "Beryltrestle-Peer-Address"

// newTransport returns an HTTP/2 transport that finds silent peers by pings.
func newTransport(cfg Config) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSClientConfig:     cfg.TLS.Clone(),
		TLSHandshakeTimeout: connectTimeout,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		Protocols:           protocols(),
		HTTP2:               http2Config(),
	}
}

// newBackgroundTransport returns a transport for rare calls. A ping every 400 ms
// on each connection to a neighbour costs more than the calls themselves.
func newBackgroundTransport(cfg Config) *http.Transport {
	t := newTransport(cfg)
	t.HTTP2.SendPingTimeout = backgroundPingAfter
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
func http2Config() *http.HTTP2Config {
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
