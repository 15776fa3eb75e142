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
	// StaleTermState marks a control call for a term that the endpoint has
	// passed. Its DETAIL is the endpoint's term.
	StaleTermState = "BT001"

	stateProtocolViolation   = "08P01"
	stateNotSupported        = "0A000"
	stateInvalidText         = "22P02"
	stateNotNull             = "23502"
	stateForeignKey          = "23503"
	stateUnique              = "23505"
	stateCheck               = "23514"
	stateActiveTransaction   = "25001"
	stateReadOnly            = "25006"
	stateFailedTransaction   = "25P02"
	stateIdleInTransaction   = "25P03"
	stateInvalidStatement    = "26000"
	stateInvalidPortal       = "34000"
	stateSerialization       = "40001"
	stateSyntax              = "42601"
	stateUndefinedColumn     = "42703"
	stateUndefinedFunction   = "42883"
	stateUndefinedTable      = "42P01"
	stateDuplicateTable      = "42P07"
	stateTooManyConnections  = "53300"
	stateCancelled           = "57014"
	stateAdminShutdown       = "57P01"
	stateInternal            = "XX000"
	severityError            = "ERROR"
	severityFatal            = "FATAL"
	messageReadOnlyTemplate  = "cannot execute %s in a read-only transaction"
	messageFailedTransaction = "current transaction is aborted, commands ignored until end of transaction block"
)

// sqlError is an error that is returned to the client with its SQLSTATE.
type sqlError struct {
	severity string
	state    string
	message  string
	detail   string
}

func (e *sqlError) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.message, e.state) }

func (e *sqlError) response() *pgproto3.ErrorResponse {
	return &pgproto3.ErrorResponse{
		Severity:            e.severity,
		SeverityUnlocalized: e.severity,
		Code:                e.state,
		Message:             e.message,
		Detail:              e.detail,
	}
}

func newError(state, format string, args ...any) *sqlError {
	return &sqlError{severity: severityError, state: state, message: fmt.Sprintf(format, args...)}
}

func newFatal(state, format string, args ...any) *sqlError {
	return &sqlError{severity: severityFatal, state: state, message: fmt.Sprintf(format, args...)}
}

// asSQLError gives every error a SQLSTATE.
func asSQLError(err error) *sqlError {
	var known *sqlError
	if errors.As(err, &known) {
		return known
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return newError(stateCancelled, "canceling statement due to user request")
	}
	var engine *sqlite.Error
	if errors.As(err, &engine) {
		return newError(engineState(engine), "%s", engine.Error())
	}
	return newError(stateInternal, "%s", err.Error())
}

func engineState(err *sqlite.Error) string {
	switch err.Code() {
	case sqlite3.SQLITE_CONSTRAINT_UNIQUE, sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY:
		return stateUnique
	case sqlite3.SQLITE_CONSTRAINT_NOTNULL:
		return stateNotNull
	case sqlite3.SQLITE_CONSTRAINT_FOREIGNKEY:
		return stateForeignKey
	case sqlite3.SQLITE_CONSTRAINT_CHECK:
		return stateCheck
	case sqlite3.SQLITE_INTERRUPT:
		return stateCancelled
	case sqlite3.SQLITE_ERROR:
		return messageState(err.Error())
	}
	return stateInternal
}

// messageState tells apart the errors that the engine reports under one code.
func messageState(message string) string {
	states := []struct{ part, state string }{
		{"no such table", stateUndefinedTable},
		{"no such column", stateUndefinedColumn},
		{"has no column", stateUndefinedColumn},
		{"no such function", stateUndefinedFunction},
		{"already exists", stateDuplicateTable},
	}
	for _, s := range states {
		if strings.Contains(message, s.part) {
			return s.state
		}
	}
	return stateSyntax
}
