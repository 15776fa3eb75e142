package gateway

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// maxRequestLinesPerSecond limits the log lines about single requests. Requests beyond
// the limit only appear in the metrics.
const maxRequestLinesPerSecond = 50

// maxReplacedLinesPerSecond limits the log lines about requests whose primary is being replaced. It
// covers what a host has in flight to the primaries of several groups at once.
const maxReplacedLinesPerSecond = 200

// eventLog writes the gateway's log. Lines about single requests are sampled, so that
// an overload does not add the load of logging.
type eventLog struct {
	log     zerolog.Logger
	request zerolog.Logger
	// replaced is for requests whose primary is being replaced. They have a limit of their own:
	// retries in an overload used up that of the other lines, and the lines that tell what became of
	// a statement at a replaced primary were missing.
	replaced zerolog.Logger
}

// newEventLog returns an eventLog that writes to log, and counts the lines that it leaves out.
func newEventLog(log zerolog.Logger, m *metrics.Registry) *eventLog {
	limited := func(burst uint32) zerolog.Logger {
		return log.Sample(&zerolog.BurstSampler{Burst: burst, Period: time.Second, NextSampler: omittedLines{m}})
	}
	return &eventLog{log: log, request: limited(maxRequestLinesPerSecond), replaced: limited(maxReplacedLinesPerSecond)}
}

// omittedLines is a sampler that omits and counts every line.
type omittedLines struct{ metrics *metrics.Registry }

// Sample implements zerolog.Sampler.
func (o omittedLines) Sample(zerolog.Level) bool {
	o.metrics.Inc(metrics.LogLinesOmitted)
	return false
}

// requestRefused logs a statement that was answered with an error.
func (e *eventLog) requestRefused(id, database string, r *Reply) {
	e.request.Info().Str("request", id).Str("database", database).
		Stringer("code", r.Code).Str("raw", r.RawCode).Str("detail", r.Detail).Msg("request not served")
}

// attemptFailed logs an attempt after which the statement is retried.
func (e *eventLog) attemptFailed(id, database string, t *target, a attempt) {
	e.request.Info().Str("request", id).Str("database", database).Str("endpoint", t.ID).Bool("sent", a.sent).
		Stringer("code", a.reply.Code).Stringer("after", a.chosen.after).AnErr("error", a.err).Msg("attempt to run the statement failed")
}

// answerLost logs a statement that was sent but not answered. Statements of the proxy
// itself have no ID and are logged by the code that issues them.
func (e *eventLog) answerLost(id, database string, t *target, after time.Duration, err error) {
	if id == "" {
		return
	}
	e.request.Info().Str("request", id).Str("database", database).Str("endpoint", t.ID).
		Dur("waited_ms", after).Err(err).Msg("answer lost")
}

// statementNotSent logs a statement that was not sent, as its endpoint did not answer before, or refused
// the state of its session.
func (e *eventLog) statementNotSent(id, database string, t *target, err error) {
	why := "statement not sent, as its endpoint does not answer"
	if errors.Is(err, errReplayRefused) {
		why = "statement not sent, as its endpoint refuses the session state"
	}
	e.replaced.Info().Str("request", id).Str("database", database).Str("group", t.group.name).Str("endpoint", t.ID).Err(err).Msg(why)
}

// answerNotCounted logs a write that an endpoint answered with success after this host had
// stopped using it as the primary.
func (e *eventLog) answerNotCounted(id, database string, t *target, position logpos.Position) {
	e.replaced.Info().Str("request", id).Str("database", database).Str("group", t.group.name).Str("endpoint", t.ID).
		Stringer("position", position).Msg("write answered by an endpoint that may have been replaced as primary")
}

// sessionEnded logs the unexpected end of a session.
func (e *eventLog) sessionEnded(database string, err error) {
	e.request.Debug().Str("database", database).Err(err).Msg("session ended unexpectedly")
}
