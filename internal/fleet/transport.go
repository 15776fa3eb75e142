package fleet

import (
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection between hosts, which takes two
	// round trips.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections to hosts that are not called any more.
	idleTimeout = 10 * time.Second
	// pingAfter and pingTimeout close a connection that has gone silent. All calls to
	// a host share one, so together they stay below the time for which a host may use
	// primaries without hearing from the others (permission.Duration).
	pingAfter   = 600 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
)

// Protocols returns the protocols of the address that serves other hosts: they use
// HTTP/2 without TLS, operators HTTP/1.
//
// Load: hosts that share an endpoint's connections send each statement through
// another host. With HTTP/1 the headers are longer than the statements, and a burst
// opens a connection for each of them.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// newTransport returns the transport for calls to other hosts.
func newTransport() *http.Transport {
	only := new(http.Protocols)
	only.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          only,
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}
