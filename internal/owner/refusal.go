package owner

import (
	"time"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// SQLSTATE codes that the owner sends or recognizes.
const (
	stateCannotConnectNow  = "57P03"
	stateConnectionFailure = "08006"
	stateOutcomeUnknown    = "08007"
	stateTooBusy           = "53400"
	stateSerialization     = "40001"
	stateReadOnly          = "25006"
	stateUniqueViolation   = "23505"
	stateUndefinedTable    = "42P01"
	stateNotSupported      = "0A000"
)

// refusal is the error that a caller gets instead of the database's answer.
type refusal struct {
	outcome    peerv1.Outcome
	reason     metrics.Name
	sqlstate   string
	message    string
	retryAfter time.Duration
}

// notRun returns the refusal of a request that did not run and never will.
func notRun(reason metrics.Name, sqlstate, message string) *refusal {
	return &refusal{
		outcome:  peerv1.Outcome_OUTCOME_NOT_RUN,
		reason:   reason,
		sqlstate: sqlstate,
		message:  message,
	}
}

// unknown returns the refusal of a request that may have run.
func unknown(reason metrics.Name, message string) *refusal {
	return &refusal{
		outcome:  peerv1.Outcome_OUTCOME_UNKNOWN,
		reason:   reason,
		sqlstate: stateOutcomeUnknown,
		message:  message,
	}
}

// toAnswer returns the message that ends the answer with the refusal.
func (r *refusal) toAnswer(location *peerv1.Location) *peerv1.Answer {
	return &peerv1.Answer{
		Outcome:      r.outcome,
		Reason:       string(r.reason),
		Sqlstate:     r.sqlstate,
		Message:      r.message,
		RetryAfterMs: uint32(r.retryAfter.Milliseconds()),
		Location:     location,
	}
}
