package cli

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/demo"
)

// demoTimeout bounds the demo.
const demoTimeout = 30 * time.Second

// errGuaranteeBroken reports a demo in which a guarantee was broken.
var errGuaranteeBroken = errors.New("a guarantee was broken")

// demoCommand runs the demo.
type demoCommand struct{}

// Run returns an error if any guarantee was broken.
func (demoCommand) Run(e *environment) error {
	ctx, cancel := context.WithTimeout(e.ctx, demoTimeout)
	defer cancel()
	r, err := demo.Run(ctx)
	if err != nil {
		return err
	}
	err = e.out.result(r, func(w io.Writer) { _ = r.Write(w) })
	if err == nil && !r.OK() {
		return errGuaranteeBroken
	}
	return err
}
