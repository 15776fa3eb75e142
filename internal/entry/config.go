// Package entry serves callers' connections: the PostgreSQL wire protocol, whole
// batches up to Sync, sent to the owner of the caller's pool.
//
// Limits of the protocol: Flush is answered only after Parse, Describe and
// Close; after Bind or Execute it is refused, because the rest of the batch would
// run in another transaction. Named portals outside a transaction live within
// one batch. COPY FROM STDIN and function calls are refused.
package entry

import (
	"crypto/tls"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes = 16 << 20
	DefaultMaxCallers      = 10_000
	DefaultStartupTimeout  = 10 * time.Second
	DefaultRequestTimeout  = 30 * time.Second
	DefaultWriteTimeout    = time.Minute
	DefaultOutcomeWait     = 3 * time.Second
	DefaultServerVersion   = "16.0"
)

// Views is what the entry sees of the control goroutine.
type Views interface {
	// View returns the current snapshot.
	View() *control.View
	// Changed returns a channel that is closed when the next View is published.
	Changed() <-chan struct{}
}

// Config configures a Server. Zero values mean the defaults.
type Config struct {
	// Peers carries requests to the owners.
	Peers peer.Exchanger
	// Views names the owners.
	Views Views
	// Metrics receives the counters; nil means that they are dropped.
	Metrics *metrics.Registry
	// TLS is offered to callers; nil means that SSLRequest is answered "N".
	TLS *tls.Config
	// AvailabilityZone is this host's zone.
	AvailabilityZone string
	// MaxMessageBytes is the largest message, and the largest batch.
	MaxMessageBytes int
	// MaxCallers is the largest number of callers' connections.
	MaxCallers int
	// StartupTimeout is the time from accept to the end of the startup.
	StartupTimeout time.Duration
	// RequestTimeout is the time that a caller waits for an answer, unless the
	// startup option statement_timeout names another.
	RequestTimeout time.Duration
	// WriteTimeout is the time after which a caller that reads nothing is cut off.
	WriteTimeout time.Duration
	// OutcomeWait is how long an unreachable owner is asked for a lost outcome.
	OutcomeWait time.Duration
	// ServerVersion is announced to callers.
	ServerVersion string
}

// withDefaults fills in what is unset.
func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxCallers, DefaultMaxCallers)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	setDefault(&c.RequestTimeout, DefaultRequestTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.OutcomeWait, DefaultOutcomeWait)
	setDefault(&c.ServerVersion, DefaultServerVersion)
	return c
}

// setDefault sets a field that has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
