package cli

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
)

// diffCommand compares a file with the manifest in force.
type diffCommand struct {
	manifestFile
	platformFlags
}

// diffResult is the result of a comparison.
type diffResult struct {
	// Generation is the generation that the file was compared with; 0 if no
	// manifest is in force.
	Generation uint64            `json:"generation"`
	Changes    []manifest.Change `json:"changes"`
}

// Run compares the file with the manifest in force.
func (c *diffCommand) Run(e *environment) error {
	doc, err := c.load(e)
	if err != nil {
		return err
	}
	accepted, err := c.store().Load(e.ctx)
	if errors.Is(err, manifeststore.ErrNoManifest) {
		accepted, err = &manifeststore.Accepted{}, nil
	}
	if err != nil {
		return err
	}
	d := diffResult{Generation: accepted.Record.Generation, Changes: manifest.Diff(accepted.Document, doc)}
	return e.out.writeResult(d, func(w io.Writer) {
		fmt.Fprintf(w, "compared with generation %d:\n", d.Generation)
		printChanges(w, d.Changes)
	})
}
