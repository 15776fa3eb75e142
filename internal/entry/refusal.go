package entry

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// SQLSTATE codes that the entry sends.
const (
	stateConnectionFailure   = "08006"
	stateOutcomeUnknown      = "08007"
	stateProtocolViolation   = "08P01"
	stateNotSupported        = "0A000"
	stateInFailedTransaction = "25P02"
	stateUnknownStatement    = "26000"
	stateUnknownDatabase     = "3D000"
	stateTransactionLost     = "40001"
	stateDuplicateStatement  = "42P05"
	stateTooManyConnections  = "53300"
	stateLimitExceeded       = "54000"
	stateCanceled            = "57014"
	stateShutdown            = "57P01"
	stateCannotConnectNow    = "57P03"
	stateInternal            = "XX000"
)

// outcome is the outcome of a request that ends with an error, as in its DETAIL.
type outcome string

// Outcomes of failed requests.
const (
	outcomeNotRun  outcome = "not_run"
	outcomeUnknown outcome = "unknown"
)

// refusal is an error that the entry sends to a caller.
type refusal struct {
	sqlstate   string
	message    string
	outcome    outcome
	reason     metrics.Name
	retryAfter time.Duration
	// fatal is true if the connection ends with this error.
	fatal bool
	// counted is true if the owner has already counted the refusal.
	counted bool
}

// notRun returns the refusal of a request that did not run.
func notRun(sqlstate string, reason metrics.Name, format string, args ...any) *refusal {
	return &refusal{
		sqlstate: sqlstate,
		message:  fmt.Sprintf(format, args...),
		outcome:  outcomeNotRun,
		reason:   reason,
	}
}

// unknown returns the refusal of a request whose outcome is not known.
func unknown(sqlstate string, reason metrics.Name, message string) *refusal {
	return &refusal{sqlstate: sqlstate, message: message, outcome: outcomeUnknown, reason: reason}
}

// asFatal makes the refusal end the connection.
func (r *refusal) asFatal() *refusal {
	r.fatal = true
	return r
}

// response returns the refusal as an ErrorResponse.
func (r *refusal) response() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if r.fatal {
		severity = "FATAL"
	}
	resp := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                r.sqlstate,
		Message:             r.message,
		Detail:              fmt.Sprintf("outcome=%s reason=%s", r.outcome, r.reason),
	}
	if r.retryAfter > 0 {
		resp.Hint = fmt.Sprintf("retry after %d ms", r.retryAfter.Milliseconds())
	}
	return resp
}
