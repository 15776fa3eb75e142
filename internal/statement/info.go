// Package statement classifies SQL text and batches of PostgreSQL frontend
// messages: what may run on a replica, what begins or ends a transaction, what
// session state it would leave behind, and which kinds of the manifest match.
// It errs on the side of the primary: what it does not recognise is not read
// only.
package statement

// Info describes one batch, or the statements of one SQL text.
type Info struct {
	// ReadOnly is true if there is at least one statement, and each one is known
	// not to write.
	ReadOnly bool
	// CallsUnknown is true if a statement calls a function that may write. On a
	// replica such a function fails if it does; on a primary it takes effect.
	CallsUnknown bool
	// Begins is true if a statement begins a transaction block.
	Begins bool
	// Ends is true if a statement ends a transaction block.
	Ends bool
	// Fingerprint is the hash of the text without literals, parameters and
	// comments, in lower case and with white space folded.
	Fingerprint uint64
	// Tag is the value of the first comment /* kind=TAG */.
	Tag string
	// RequestKey is the value of the first comment /* request_key=KEY */; empty
	// for a batch that only prepares or describes, since the record of its answer
	// would be returned to the batch that executes.
	RequestKey string
	// Text is the SQL text; the texts of several messages are joined by ";\n".
	Text string
	// SessionState names session state that pooling cannot keep; empty if none.
	SessionState string
	// Unresolved names the prepared statements that the batch binds or describes
	// but does not parse. Their text is unknown, so the batch is not read only.
	Unresolved []string
}
