package measure

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/beryltrestle/beryltrestle/internal/history"
	"github.com/beryltrestle/beryltrestle/internal/workload"
)

// Reasons of failures for which the system gave no reason.
const (
	reasonCallerBusy = "caller.busy"
	reasonTimeout    = "caller.timeout"
	reasonConnect    = "caller.connect"
	reasonClosed     = "caller.connection_closed"
)

// outcome is the result of one job.
type outcome struct {
	job Job
	// latency is the time from the job's due time to the answer.
	latency time.Duration
	// answeredAt is the time from the start of the run to the answer.
	answeredAt time.Duration
	result     history.Result
	// reason is the cause of a failure: the name of a refusal or unknown counter, a
	// SQLSTATE, or one of the reasons above.
	reason string
	// message is the text and the DETAIL of a failure.
	message string
	// stale is true for a lookup that missed a confirmed booking of its session.
	stale bool
	// replicaEligible is true for a lookup that a replica could have served, because
	// the session wrote nothing recently.
	replicaEligible bool
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
