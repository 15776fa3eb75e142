package statement

import "fmt"

// MalformedError reports a batch that violates the protocol. The caller's connection
// must be closed.
type MalformedError struct {
	// Offset is the offset of the message in the batch, in bytes.
	Offset  int
	Problem string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("frontend message at byte %d: %s", e.Offset, e.Problem)
}

// UnsupportedError reports a message type that cannot be part of a batch.
type UnsupportedError struct {
	Type byte
}

// Error implements error.
func (e *UnsupportedError) Error() string {
	return fmt.Sprintf("frontend message type %q is not supported in a batch", e.Type)
}
