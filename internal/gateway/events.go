package gateway

import (
	"time"

	"github.com/rs/zerolog"
)

// requestLines bounds the log lines about single requests, in lines a second; the
// rest is only counted.
const requestLines = 50

// events writes the log lines of decisions. Lines about requests are limited, so
// that an overload does not turn into work for the log.
type events struct {
	log     zerolog.Logger
	request zerolog.Logger
}

// newEvents returns the log lines of a gateway.
func newEvents(log zerolog.Logger) *events {
	limited := log.Sample(&zerolog.BurstSampler{Burst: requestLines, Period: time.Second})
	return &events{log: log, request: limited}
}

// refused records an answer that is not a success.
func (e *events) refused(id, database string, r *Reply) {
	e.request.Info().Str("request", id).Str("database", database).
		Stringer("code", r.Code).Str("raw", r.RawCode).Str("detail", r.Detail).Msg("request not served")
}

// retry records an attempt that settled nothing.
func (e *events) retry(id, database string, t *target, a attempt) {
	e.request.Info().Str("request", id).Str("database", database).Str("endpoint", t.ID).Bool("sent", a.sent).
		Stringer("code", a.reply.Code).Stringer("after", a.at.after).AnErr("error", a.err).Msg("attempt failed")
}

// lostAnswer records a statement that was sent and whose answer did not come.
// The proxy's own statements have no ID; what depends on them is logged by their
// callers.
func (e *events) lostAnswer(id, database string, t *target, after time.Duration, err error) {
	if id == "" {
		return
	}
	e.request.Info().Str("request", id).Str("database", database).Str("endpoint", t.ID).
		Dur("waited_ms", after).Err(err).Msg("answer lost")
}

// session records the unexpected end of a session.
func (e *events) session(database string, err error) {
	e.request.Debug().Str("database", database).Err(err).Msg("session ended")
}
