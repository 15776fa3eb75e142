package cli

import (
	"context"
	"io"
)

// environment holds the context, input and output of a command.
type environment struct {
	// ctx ends at SIGTERM or SIGINT.
	ctx   context.Context
	stdin io.Reader
	out   printer
}
