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
	// replaceAfter is the least age of a connection on which a call got no answer until
	// it is replaced, so that slow answers do not open a connection each.
	replaceAfter = 300 * time.Millisecond
	// compressFrom is the size in bytes from which messages are compressed: tables of
	// the store are, statements and their answers usually are not.
	compressFrom = 1024
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

// newTransport returns the transport for calls to one host. It sends no pings: most
// connections between hosts are idle, and pings on all of them were more bytes than the
// statements.
func newTransport() *http.Transport {
	only := new(http.Protocols)
	only.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          only,
	}
}
