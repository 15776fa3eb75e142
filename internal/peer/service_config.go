package peer

import (
	"crypto/tls"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	// RequestHandler runs requests.
	RequestHandler RequestHandler
	// ControlHandler answers the control calls.
	ControlHandler ControlHandler
	// TLS enables mutual TLS; it must require and verify client certificates. Nil
	// means HTTP/2 without TLS.
	TLS *tls.Config
	// Metrics receives the counters; nil discards them.
	Metrics *metrics.Registry
	// Guard handles panics in the work on one request.
	Guard recovery.Guard
	// Generation returns the manifest generation that this daemon applies.
	Generation func() uint64
}
