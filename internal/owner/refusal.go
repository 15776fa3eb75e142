package owner

import (
	"time"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// SQLSTATE codes of refusals.
const (
	stateCannotConnect      = "57P03"
	stateConnectionFailure  = "08006"
	stateUnknownOutcome     = "08007"
	stateTooBusy            = "53400"
	stateSerialization      = "40001"
	stateReadOnly           = "25006"
	stateUniqueViolation    = "23505"
	stateUndefinedTable     = "42P01"
	stateFeatureUnsupported = "0A000"
)

// refusal ends a request that has no answer of the database.
type refusal struct {
	outcome    peerv1.Outcome
	reason     metrics.Name
	sqlstate   string
	message    string
	retryAfter time.Duration
}

func notRun(reason metrics.Name, sqlstate, message string) *refusal {
	return &refusal{
		outcome:  peerv1.Outcome_OUTCOME_NOT_RUN,
		reason:   reason,
		sqlstate: sqlstate,
		message:  message,
	}
}

func unknown(reason metrics.Name, message string) *refusal {
	return &refusal{
		outcome:  peerv1.Outcome_OUTCOME_UNKNOWN,
		reason:   reason,
		sqlstate: stateUnknownOutcome,
		message:  message,
	}
}

// answer returns the end of the answer that carries the refusal.
func (r *refusal) answer(location *peerv1.Location) *peerv1.Answer {
	return &peerv1.Answer{
		Outcome:      r.outcome,
		Reason:       string(r.reason),
		Sqlstate:     r.sqlstate,
		Message:      r.message,
		RetryAfterMs: uint32(r.retryAfter.Milliseconds()),
		Location:     location,
	}
}
