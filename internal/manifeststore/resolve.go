package manifeststore

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// errHistoryTooShort reports that too many applies followed to tell.
var errHistoryTooShort = errors.New("too many manifests were accepted since to tell whether this one was")

// resolve reads the item to find out what became of the conditional write.
// settled is false if that cannot be told yet.
func (a *apply) resolve(ctx context.Context) (result Result, settled bool, err error) {
	item, err := a.store.Head(ctx)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return Result{}, false, nil
	case err != nil:
		return Result{}, false, err
	}
	a.seen = item
	switch {
	case item.ApplyID == a.item.ApplyID:
		return a.done(), true, nil
	case item.Generation <= a.expected:
		return Result{}, false, nil
	}
	accepted, err := a.store.load(ctx, item)
	if err != nil {
		return Result{}, false, err
	}
	return a.compare(ctx, accepted)
}

// compare looks for the apply in the history of a later manifest.
func (a *apply) compare(ctx context.Context, accepted *Accepted) (Result, bool, error) {
	winner, found := accepted.find(a.item.Generation)
	switch {
	case found && winner.ApplyID == a.item.ApplyID:
		return a.done(), true, nil
	case len(manifest.Diff(accepted.Document, a.doc)) == 0:
		// Another apply of the same document won, such as an earlier run of this
		// command whose write took effect late.
		return Result{Generation: accepted.Item.Generation, Unchanged: true}, true, nil
	case found || !a.unknown:
		return Result{}, true, a.conflict(ctx, accepted)
	default:
		return Result{}, true, a.unsettled(errHistoryTooShort)
	}
}

// conflict describes the other operator's change.
func (a *apply) conflict(ctx context.Context, theirs *Accepted) error {
	e := &ConflictError{
		Base:       a.expected,
		Theirs:     theirs.Item,
		OurChanges: manifest.Diff(theirs.Document, a.doc),
	}
	if base, ok := a.baseDocument(ctx, theirs); ok {
		e.BaseKnown = true
		e.TheirChanges = manifest.Diff(base, theirs.Document)
	}
	return e
}

// baseDocument returns the manifest that the apply was based on.
func (a *apply) baseDocument(ctx context.Context, theirs *Accepted) (*manifest.Document, bool) {
	if a.base.Item.Generation == a.expected && a.base.Document != nil {
		return a.base.Document, true
	}
	if a.expected == 0 {
		return nil, true
	}
	earlier, ok := theirs.find(a.expected)
	if !ok {
		return nil, false
	}
	base, err := a.store.load(ctx, platform.ManifestRecord{Generation: earlier.Generation, Root: earlier.Root})
	if err != nil {
		return nil, false
	}
	return base.Document, true
}
