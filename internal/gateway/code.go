package gateway

// Code classifies an answer that is not a success.
type Code uint8

// Codes of answers. NotRun reports which of them promise that nothing was kept.
const (
	CodeNone Code = iota
	// CodeBusy: no endpoint had room for the statement.
	CodeBusy
	// CodeAborted: the transaction was rolled back.
	CodeAborted
	// CodeLagging: the endpoint lacks the position that the statement names.
	CodeLagging
	// CodeReadOnly: the endpoint is not the primary, or no longer.
	CodeReadOnly
	// CodeMisrouted: another endpoint than the expected one answered.
	CodeMisrouted
	// CodeTooMany: the endpoint's connection limit is reached.
	CodeTooMany
	// CodeNoStatement: the prepared statement is unknown.
	CodeNoStatement
	// CodeFailed: the statement ran and failed.
	CodeFailed
	// CodeTimeout: the statement did not end in time; it may have run.
	CodeTimeout
	// CodeInDoubt: the answer was lost; the statement may have run.
	CodeInDoubt
	// CodeMalformed: the statement is not understood, or not allowed now.
	CodeMalformed
	// CodeNoDatabase: no database of that name is configured.
	CodeNoDatabase
	// CodeOther: an endpoint's code that the proxy does not know.
	CodeOther
)

// codeNames are the codes as the logs show them.
var codeNames = [...]string{
	CodeNone: "none", CodeBusy: "busy", CodeAborted: "aborted", CodeLagging: "lagging", CodeReadOnly: "read_only",
	CodeMisrouted: "misrouted", CodeTooMany: "too_many", CodeNoStatement: "no_statement", CodeFailed: "failed",
	CodeTimeout: "timeout", CodeInDoubt: "in_doubt", CodeMalformed: "malformed", CodeNoDatabase: "no_database",
	CodeOther: "other",
}

// String returns the code's name.
func (c Code) String() string {
	if int(c) >= len(codeNames) {
		return "unknown"
	}
	return codeNames[c]
}

// NotRun reports whether the code promises that nothing of the statement is kept.
func (c Code) NotRun() bool {
	switch c {
	case CodeBusy, CodeAborted, CodeLagging, CodeReadOnly, CodeMisrouted, CodeTooMany, CodeNoStatement:
		return true
	}
	return false
}
