package cli

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/demo"
)

// demoTimeout is the time limit of the demo.
const demoTimeout = 30 * time.Second

// errGuaranteeBroken reports that the demo violated a guarantee.
var errGuaranteeBroken = errors.New("a guarantee was broken")

// demoCommand runs the demo.
type demoCommand struct{}

// Run runs the demo. It returns an error if a guarantee was violated.
func (demoCommand) Run(e *environment) error {
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	r, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	err = e.out.writeResult(r, func(w io.Writer) { _ = r.Write(w) })
	if err == nil && !r.OK() {
		return errGuaranteeBroken
	}
	return err
}
