package cli

import (
	"context"
	"io"
)

// environment is what commands run in.
type environment struct {
	// ctx ends with SIGTERM or SIGINT.
	ctx   context.Context
	stdin io.Reader
	out   printer
}
