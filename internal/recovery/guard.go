// Package recovery keeps a panic in the work on one connection, call or row from ending
// the process.
package recovery

import (
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// ErrPanic means that a call panicked. Its effects are not known.
var ErrPanic = errors.New("panic")

// Guard turns panics into errors, counts them and logs them with their stack. The zero Guard
// neither counts nor logs them.
type Guard struct {
	metrics *metrics.Registry
	log     zerolog.Logger
}

// NewGuard returns a guard that counts in the registry and writes to log.
func NewGuard(registry *metrics.Registry, log zerolog.Logger) Guard {
	return Guard{metrics: registry, log: log}
}

// Run calls f and returns its error. If f panics, Run returns an error that wraps ErrPanic.
// work names what f does, for the log.
func (g Guard) Run(work string, f func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = g.report(work, value)
		}
	}()
	return f()
}

// Do is Run for a function without an error of its own.
func (g Guard) Do(work string, f func()) error {
	return g.Run(work, func() error {
		f()
		return nil
	})
}

// Handler returns a handler that aborts a request whose handling panics.
func (g Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := g.Do("request "+r.URL.Path, func() { next.ServeHTTP(w, r) }); err != nil {
			// The server closes the stream without an answer, as part of an answer may
			// have been sent.
			panic(http.ErrAbortHandler)
		}
	})
}

// report counts and logs a panic, and returns the error for it.
func (g Guard) report(work string, value any) error {
	if g.metrics != nil {
		g.metrics.Inc(metrics.Panics)
	}
	g.log.Error().Str("work", work).Str("panic", fmt.Sprint(value)).Bytes("stack", debug.Stack()).Msg("work ended by a panic")
	return errors.Wrapf(ErrPanic, "%s: %v", work, value)
}
