package manifeststore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// errHistoryTooShort reports that the history does not reach back to the apply.
var errHistoryTooShort = errors.New("too many later manifests were accepted to tell whether this one was accepted")

// resolve reads the record to find the outcome of the conditional write.
// settled is false if the outcome is still open.
func (a *apply) resolve(ctx context.Context) (result Result, settled bool, err error) {
	record, err := a.store.Head(ctx)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Result{}, false, nil
	case err != nil:
		return Result{}, false, err
	}
	a.lastRead = record
	switch {
	case record.ApplyID == a.record.ApplyID:
		return a.result(), true, nil
	case record.Generation <= a.baseGeneration:
		return Result{}, false, nil
	}
	accepted, err := a.store.loadRecord(ctx, record)
	if err != nil {
		return Result{}, false, err
	}
	return a.resolveFromHistory(ctx, accepted)
}

// resolveFromHistory looks for the apply in the history of a later manifest.
func (a *apply) resolveFromHistory(ctx context.Context, accepted *Accepted) (Result, bool, error) {
	winner, found := accepted.findAcceptance(a.record.Generation)
	switch {
	case found && winner.ApplyID == a.record.ApplyID:
		return a.result(), true, nil
	case len(manifest.Diff(accepted.Document, a.doc)) == 0:
		// Another apply of the same document was accepted, such as an earlier run of
		// this command whose write took effect late.
		return Result{Generation: accepted.Record.Generation, Unchanged: true}, true, nil
	case found || !a.answerLost:
		return Result{}, true, a.conflictError(ctx, accepted)
	default:
		return Result{}, true, a.unresolvedError(errHistoryTooShort)
	}
}

// conflictError describes another operator's change.
func (a *apply) conflictError(ctx context.Context, theirs *Accepted) error {
	e := &ConflictError{
		Base:       a.baseGeneration,
		Theirs:     theirs.Record,
		OurChanges: manifest.Diff(theirs.Document, a.doc),
	}
	if base, ok := a.baseDocument(ctx, theirs); ok {
		e.BaseKnown = true
		e.TheirChanges = manifest.Diff(base, theirs.Document)
	}
	return e
}

// baseDocument returns the manifest that the apply was based on; false if it
// could not be read.
func (a *apply) baseDocument(ctx context.Context, theirs *Accepted) (*manifest.Document, bool) {
	if a.current.Record.Generation == a.baseGeneration && a.current.Document != nil {
		return a.current.Document, true
	}
	if a.baseGeneration == 0 {
		return nil, true
	}
	earlier, ok := theirs.findAcceptance(a.baseGeneration)
	if !ok {
		return nil, false
	}
	base, err := a.store.loadRecord(ctx, platform.ManifestRecord{Generation: earlier.Generation, Root: earlier.Root})
	if err != nil {
		return nil, false
	}
	return base.Document, true
}
