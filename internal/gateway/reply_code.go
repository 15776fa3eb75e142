package gateway

// Code is the result of a statement: CodeNone for success, otherwise the kind of error.
type Code uint8

// Result codes. NoEffect reports which of them guarantee that the statement had no
// effect.
const (
	CodeNone Code = iota
	// CodeBusy: no endpoint had capacity for the statement.
	CodeBusy
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: the endpoint has not applied the required log position yet.
	CodeLagging
	// CodeReadOnly: the endpoint is not, or no longer, the primary.
	CodeReadOnly
	// CodeMisrouted: the request reached another endpoint than the expected one, or a
	// host that cannot forward it.
	CodeMisrouted
	// CodeTooManyConnections: the endpoint's connection limit is reached.
	CodeTooManyConnections
	// CodeNoStatement: the prepared statement does not exist.
	CodeNoStatement
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement did not finish in time; it may have run.
	CodeTimeout
	// CodeInDoubt: the answer was lost; the statement may have run.
	CodeInDoubt
	// CodeMalformed: the statement is malformed or not allowed in the current state.
	CodeMalformed
	// CodeNoDatabase: no database of that name is configured.
	CodeNoDatabase
	// CodeOther: the endpoint returned a code that the proxy does not know.
	CodeOther
	// CodeUnauthenticated: no team holds the caller's key.
	CodeUnauthenticated
)

// LastCode is the highest code that this build knows.
const LastCode = CodeUnauthenticated

// codeNames holds the names of the codes in log lines.
var codeNames = [...]string{
	CodeNone: "none", CodeBusy: "busy", CodeAborted: "aborted", CodeLagging: "lagging", CodeReadOnly: "read_only",
	CodeMisrouted: "misrouted", CodeTooManyConnections: "too_many", CodeNoStatement: "no_statement", CodeFailed: "failed",
	CodeTimeout: "timeout", CodeInDoubt: "in_doubt", CodeMalformed: "malformed", CodeNoDatabase: "no_database",
	CodeOther: "other", CodeUnauthenticated: "unauthenticated",
}

// String returns the code's name.
func (c Code) String() string {
	if int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

// NotExecuted reports whether the code of an endpoint guarantees that it did not run the
// statement. Other codes that guarantee no effect may follow a run that was rolled back.
func (c Code) NotExecuted() bool { return c.NoEffect() && c != CodeAborted }

// NoEffect reports whether the code guarantees that the statement had no effect.
func (c Code) NoEffect() bool {
	switch c {
	case CodeBusy, CodeAborted, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooManyConnections, CodeNoStatement:
		return true
	}
	return false
}
