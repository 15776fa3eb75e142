package session

// Statement is one statement of a caller.
type Statement struct {
	// ID identifies this run of the statement and is chosen by the caller; empty for
	// statements of the proxy itself.
	ID string
	// Text is the statement as the caller sent it.
	Text string
	Op   Op
	// Name is the name of the value (OpSet) or of the prepared statement.
	Name string
	// Args is the text after the name.
	Args string
	// Writes is true for OpWrite, and for OpPrepare of a statement that writes.
	Writes bool
}
