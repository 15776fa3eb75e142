package database

import (
	"context"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
	"modernc.org/sqlite"
	sqlite3 "modernc.org/sqlite/lib"
)

// SQLSTATEs that the endpoint returns.
const (
	// StaleTermSQLState is returned for a control call that does not fit the endpoint's
	// current term and holder. The DETAIL is the endpoint's term.
	StaleTermSQLState = "BT001"

	sqlStateProtocolViolation    = "08P01"
	sqlStateNotSupported         = "0A000"
	sqlStateInvalidText          = "22P02"
	sqlStateNotNullViolation     = "23502"
	sqlStateForeignKeyViolation  = "23503"
	sqlStateUniqueViolation      = "23505"
	sqlStateCheckViolation       = "23514"
	sqlStateActiveTransaction    = "25001"
	sqlStateReadOnly             = "25006"
	sqlStateFailedTransaction    = "25P02"
	sqlStateIdleInTransaction    = "25P03"
	sqlStateInvalidStatement     = "26000"
	sqlStateInvalidPortal        = "34000"
	sqlStateSerializationFailure = "40001"
	sqlStateSyntaxError          = "42601"
	sqlStateUndefinedColumn      = "42703"
	sqlStateUndefinedFunction    = "42883"
	sqlStateUndefinedTable       = "42P01"
	sqlStateDuplicateTable       = "42P07"
	sqlStateTooManyConnections   = "53300"
	sqlStateQueryCanceled        = "57014"
	sqlStateAdminShutdown        = "57P01"
	sqlStateInternalError        = "XX000"
	severityError                = "ERROR"
	severityFatal                = "FATAL"
	messageReadOnlyTemplate      = "cannot execute %s in a read-only transaction"
	messageFailedTransaction     = "current transaction is aborted, commands ignored until end of transaction block"
)

// sqlError is an error that is sent to the client with its SQLSTATE.
type sqlError struct {
	severity string
	sqlState string
	message  string
	detail   string
}

func (e *sqlError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.sqlState) }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            e.severity,
		SeverityUnlocalized: e.severity,
		Code:                e.sqlState,
		Message:             e.message,
		Detail:              e.detail,
	}
}

func newError(sqlState, format string, args ...any) *sqlError {
	return &sqlError{severity: severityError, sqlState: sqlState, message: fmt.Sprintf(format, args...)}
}

func newFatal(sqlState, format string, args ...any) *sqlError {
	return &sqlError{severity: severityFatal, sqlState: sqlState, message: fmt.Sprintf(format, args...)}
}

// asSQLError converts any error to one with a SQLSTATE.
func asSQLError(err error) *sqlError {
	var known *sqlError
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return newError(sqlStateQueryCanceled, "canceling statement due to user request")
	}
	var engine *sqlite.Error
	if errors.As(err, &engine) {
		return newError(engineSQLState(engine), "%s", engine.Error())
	}
	return newError(sqlStateInternalError, "%s", err.Error())
}

func engineSQLState(err *sqlite.Error) string {
	switch err.Code() {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY:
		return sqlStateUniqueViolation
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return sqlStateNotNullViolation
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return sqlStateForeignKeyViolation
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return sqlStateCheckViolation
	case sqlite3.SQLITE_INTERRUPT:
		return sqlStateQueryCanceled
	case sqlite3.SQLITE_ERROR:
		return messageSQLState(err.Error())
	}
	return sqlStateInternalError
}

// messageSQLState returns the SQLSTATE of an error by its message, because the engine
// reports these errors with the same code.
func messageSQLState(message string) string {
	states := []struct{ part, state string }{
		{"no such table", sqlStateUndefinedTable},
		{"no such column", sqlStateUndefinedColumn},
		{"has no column", sqlStateUndefinedColumn},
		{"no such function", sqlStateUndefinedFunction},
		{"already exists", sqlStateDuplicateTable},
	}
	for _, s := range states {
		if strings.Contains(message, s.part) {
			return s.state
		}
	}
	return sqlStateSyntaxError
}
