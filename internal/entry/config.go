// Package entry implements the entry role of a daemon: it accepts the connections of
// callers with the PostgreSQL wire protocol and sends their requests to the owner of the
// pool. A request is a whole batch of messages up to Sync.
//
// Limits of the protocol: Flush is answered only after Parse, Describe and Close. After
// Bind or Execute it is refused, because the rest of the batch would run in another
// transaction. Outside a transaction, named portals live only within one batch. COPY FROM
// STDIN and function calls are refused.
package entry

import (
	"crypto/tls"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// Defaults of Config.
const (
	DefaultMaxMessageBytes = 16 << 20
	DefaultMaxCallers      = 10_000
	DefaultStartupTimeout  = 10 * time.Second
	DefaultRequestTimeout  = 30 * time.Second
	DefaultWriteTimeout    = time.Minute
	DefaultOutcomeTimeout  = 3 * time.Second
	DefaultServerVersion   = "16.0"
)

// ViewSource publishes the Views of the control goroutine.
type ViewSource interface {
	// View returns the current snapshot.
	View() *control.View
	// Changed returns a channel that is closed when the next View is published.
	Changed() <-chan struct{}
}

// Config configures a Server. Zero values mean the defaults.
type Config struct {
	// Peers sends requests to the owners.
	Peers peer.Exchanger
	// Views provides the current owner of each pool.
	Views ViewSource
	// Metrics receives the counters; nil discards them.
	Metrics *metrics.Registry
	// Guard handles panics in the work on one connection.
	Guard recovery.Guard
	// TLS is offered to callers; nil means that callers cannot use TLS (SSLRequest is
	// answered with "N").
	TLS *tls.Config
	// AvailabilityZone is the availability zone of this host.
	AvailabilityZone string
	// MaxMessageBytes is the size of the largest message and of the largest batch. It also
	// limits the total size of the prepared statements of one connection.
	MaxMessageBytes int
	// MaxCallers is the largest number of connections of callers.
	MaxCallers int
	// StartupTimeout is the time limit from accepting a connection to the end of its
	// startup.
	StartupTimeout time.Duration
	// RequestTimeout is how long a caller waits for an answer, unless it sets the startup
	// option statement_timeout.
	RequestTimeout time.Duration
	// WriteTimeout is how long a write to a caller may block before the caller is cut off,
	// because it does not read its answer.
	WriteTimeout time.Duration
	// OutcomeTimeout is how long the entry tries to get the outcome of a request from an
	// owner that it cannot reach.
	OutcomeTimeout time.Duration
	// ServerVersion is the value of server_version that is reported to callers.
	ServerVersion string
}

// withDefaults returns the Config with defaults for the unset fields.
func (c Config) withDefaults() Config {
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	setDefault(&c.MaxMessageBytes, DefaultMaxMessageBytes)
	setDefault(&c.MaxCallers, DefaultMaxCallers)
	setDefault(&c.StartupTimeout, DefaultStartupTimeout)
	setDefault(&c.RequestTimeout, DefaultRequestTimeout)
	setDefault(&c.WriteTimeout, DefaultWriteTimeout)
	setDefault(&c.OutcomeTimeout, DefaultOutcomeTimeout)
	setDefault(&c.ServerVersion, DefaultServerVersion)
	return c
}

// setDefault sets the field to the value if it has its zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
