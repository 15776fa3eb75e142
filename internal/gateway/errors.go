package gateway

import "github.com/cockroachdb/errors"

// ErrInterrupted means that the wait for a statement was interrupted.
var ErrInterrupted = errors.New("interrupted")

// ErrMalformed means that a message violates the protocol.
var ErrMalformed = errors.New("malformed message")

// ErrOversize means that a message exceeds the protocol's limit.
var ErrOversize = errors.New("oversize message")
