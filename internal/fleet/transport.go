package fleet

import (
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout limits the opening of a connection between hosts, which takes two
	// round trips.
	dialTimeout = 300 * time.Millisecond
	// idleTimeout closes connections to hosts that are no longer called.
	idleTimeout = 10 * time.Second
	// minReplaceAge is the minimum age at which a connection is replaced after a call
	// on it timed out, so that a series of slow answers does not open a connection
	// each.
	minReplaceAge = 300 * time.Millisecond
	// maxReplaceAge limits the growth of that age while nothing is answered.
	maxReplaceAge = 2400 * time.Millisecond
	// compressMinBytes is the message size in bytes from which messages are compressed.
	// Most table changes are larger, most statements and answers smaller.
	compressMinBytes = 1024
)

// Protocols returns the HTTP protocols of the address that other hosts and operators
// use: HTTP/2 without TLS for hosts, HTTP/1 for operators.
//
// Relayed statements need HTTP/2: with HTTP/1 the headers are longer than the
// statements, and a burst of statements opens a connection for each of them.
func Protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return p
}

// newTransport returns the transport for calls to one host. It sends no HTTP/2 pings:
// most connections between hosts are idle, and pings on all of them would take more
// bandwidth than the statements.
func newTransport() *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:        dialer.DialContext,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          protocols,
	}
}
