package peer

import (
	"crypto/tls"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// Config configures the clients, ExchangeClient and UnaryClient.
type Config struct {
	// Address is this daemon's own peer address, sent with each call.
	Address string
	// TLS enables mutual TLS; nil means HTTP/2 without TLS.
	TLS *tls.Config
	// Metrics receives the counters; nil discards them.
	Metrics *metrics.Registry
	// Generation returns the manifest generation that this daemon applies.
	Generation func() uint64
	// ObserveGeneration is called with each generation that a peer names.
	ObserveGeneration func(address string, generation uint64)
}

// withDefaults replaces unset functions and metrics.
func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Generation == nil {
		c.Generation = func() uint64 { return 0 }
	}
	if c.ObserveGeneration == nil {
		c.ObserveGeneration = func(string, uint64) {}
	}
	return c
}

// baseURL returns the base URL of a peer.
func (c Config) baseURL(address string) string {
	if c.TLS != nil {
		return "https://" + address
	}
	return "http://" + address
}
