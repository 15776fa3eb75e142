package session

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's name for this run of the statement; empty for statements
	// of the proxy itself.
	ID string
	// Text is the statement as the caller sent it.
	Text string
	Op   Op
	// Name is the value's name of OpSet, or the prepared statement's.
	Name string
	// Args is what follows the name.
	Args string
	// Writes is true for OpWrite, and for OpPrepare of a writing statement.
	Writes bool
}
