package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// Reasons of failures that carry no reason of the system.
const (
	reasonCallerBusy = "caller.busy"
	reasonTimeout    = "caller.timeout"
	reasonConnect    = "caller.connect"
	reasonClosed     = "caller.connection_closed"
)

// outcome is the result of one job.
type outcome struct {
	job Job
	// latency is the time from the due time to the answer.
	latency time.Duration
	// finished is the time of the answer from the start of the run.
	finished time.Duration
	result   history.Result
	// reason is the counter name or SQLSTATE of a failure.
	reason string
	// message is the error's text and DETAIL.
	message string
	// stale is true for a lookup that missed the session's own booking.
	stale bool
	// settled is true for a lookup whose session wrote nothing recently.
	settled bool
}

func (o outcome) ok() bool { return o.result == history.OK }

func (o outcome) inDeadline() bool { return o.ok() && o.latency <= o.job.deadline() }

func reasonOf(err error) string {
	if reason := workload.ReasonOf(err); reason != "" {
		return reason
	}
	var pg *pgconn.PgError
	switch {
	case errors.As(err, &pg):
		return "sqlstate." + pg.Code
	case errors.Is(err, context.DeadlineExceeded):
		return reasonTimeout
	}
	return reasonClosed
}

func messageOf(err error) string {
	var pg *pgconn.PgError
	if errors.As(err, &pg) {
		return pg.Error() + " " + pg.Detail
	}
	return err.Error()
}
