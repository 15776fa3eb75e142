// Package statement classifies SQL text and batches of PostgreSQL frontend messages:
// whether they may run on a replica, whether they begin or end a transaction, what
// session state they would leave behind, and which rules of the manifest apply. A
// statement that it does not recognize is not read-only, so it runs on the primary.
package statement

// Info describes one batch, or the statements of one SQL text.
type Info struct {
	// ReadOnly is true if there is at least one statement and every statement is known
	// not to write.
	ReadOnly bool
	// CallsUnknownFunction is true if a statement calls a function that may write. On a
	// replica a write of the function fails; on the primary it takes effect.
	CallsUnknownFunction bool
	// BeginsTransaction is true if a statement begins a transaction block.
	BeginsTransaction bool
	// EndsTransaction is true if a statement ends a transaction block.
	EndsTransaction bool
	// Fingerprint identifies statements that differ only in literals, parameters,
	// comments, white space or case: it is a hash of the text without them.
	Fingerprint uint64
	// Tag is the TAG of the first comment /* kind=TAG */.
	Tag string
	// RequestKey is the KEY of the first comment /* request_key=KEY */. It is empty for
	// a batch that only prepares or describes: otherwise the answer to that batch would
	// be recorded and returned to the batch that executes.
	RequestKey string
	// Text is the SQL text. The texts of several messages are joined by ";\n".
	Text string
	// SessionState names the session state that a statement would leave behind and that
	// connection pooling cannot keep; empty if there is none.
	SessionState string
	// UnresolvedStatements are the names of the prepared statements that the batch binds
	// or describes but does not parse. Their text is unknown, so the batch is not
	// read-only.
	UnresolvedStatements []string
}
