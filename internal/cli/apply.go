package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// applyCommand puts a manifest file into force.
type applyCommand struct {
	manifestFile
	platformFlags
	Base     *uint64       `help:"Generation that the file is based on; 0 if no manifest was accepted yet. By default, the file replaces the manifest that is in force when the command starts." placeholder:"N"`
	Timeout  time.Duration `help:"Time limit, including the resolution of lost answers." default:"20s"`
	Operator string        `help:"Name shown to other operators." default:"unknown" env:"BERYLTRESTLE_OPERATOR,USER"`
}

// Run applies the file.
func (c *applyCommand) Run(e *environment) error {
	doc, err := c.load(e)
	if err != nil {
		return err
	}
	store := c.store()
	base, err := c.baseGeneration(e, store)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	result, err := store.Apply(ctx, doc, base, c.Operator)
	if err != nil {
		return err
	}
	return e.out.writeResult(result, func(w io.Writer) { printResult(w, result) })
}

// baseGeneration returns the generation that the apply replaces.
func (c *applyCommand) baseGeneration(e *environment, store *manifeststore.Store) (uint64, error) {
	if c.Base != nil {
		return *c.Base, nil
	}
	record, err := store.Head(e.ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return record.Generation, err
}

func printResult(w io.Writer, r manifeststore.Result) {
	if r.Unchanged {
		fmt.Fprintf(w, "generation %d already equals this manifest, nothing was written\n", r.Generation)
		return
	}
	fmt.Fprintf(w, "accepted as generation %d (apply %s):\n", r.Generation, r.ApplyID)
	printChanges(w, r.Changes)
}
