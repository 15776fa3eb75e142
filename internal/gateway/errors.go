package gateway

import "github.com/cockroachdb/errors"

// ErrInterrupted says that a wait for a statement was interrupted.
var ErrInterrupted = errors.New("interrupted")

// ErrMalformed says that a caller's message is not understood.
var ErrMalformed = errors.New("malformed message")
