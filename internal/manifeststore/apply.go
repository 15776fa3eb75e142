package manifeststore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// applyTimeout bounds one apply, the resolution of lost answers included.
const applyTimeout = 20 * time.Second

// Apply accepts the document as the generation after base; base 0 means that no
// manifest was accepted yet. It returns
//   - findings.List if the document is not valid, or not a safe change of the one
//     in force;
//   - *ConflictError if another manifest than base's is accepted;
//   - *UnknownOutcomeError if the apply may or may not have taken effect;
//   - another error if the apply did not take effect.
//
// If the accepted manifest already equals the document, nothing is written and
// the result is Unchanged, whatever base is: repeating an apply is harmless.
func (s *Store) Apply(ctx context.Context, doc *manifest.Document, base uint64, operator string) (Result, error) {
	if list := doc.Validate(); len(list) > 0 {
		return Result{}, list
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := s.current(ctx)
	if err != nil {
		return Result{}, err
	}
	a := newApply(s, doc, base, operator, current)
	if len(a.changes) == 0 {
		return Result{Generation: current.Item.Generation, Unchanged: true}, nil
	}
	if current.Item.Generation != base {
		return Result{}, a.conflict(ctx, current)
	}
	if list := manifest.CheckTransition(current.Document, doc); len(list) > 0 {
		return Result{}, list
	}
	if err := a.writeObjects(ctx); err != nil {
		return Result{}, errors.Wrap(err, "write manifest objects")
	}
	return a.accept(ctx)
}

// apply is one apply in progress.
type apply struct {
	store   *Store
	doc     *manifest.Document
	base    *Accepted
	item    platform.ManifestRecord
	objects map[string][]byte
	changes []manifest.Change
	// expected is the generation that the apply is based on.
	expected uint64
	// unknown is true once a write's answer was lost: the write may take effect
	// at any later time.
	unknown bool
	// seen is the last item read; it may be of another apply.
	seen platform.ManifestRecord
}

func newApply(s *Store, doc *manifest.Document, base uint64, operator string, current *Accepted) *apply {
	root, objects := manifest.SplitWithHistory(doc, current.nextHistory())
	return &apply{
		store:    s,
		doc:      doc,
		base:     current,
		item:     platform.ManifestRecord{Generation: base + 1, ApplyID: uuid.NewString(), Root: root, Operator: operator},
		objects:  objects,
		changes:  manifest.Diff(current.Document, doc),
		expected: base,
	}
}

// writeObjects writes those objects that the current manifest does not have.
func (a *apply) writeObjects(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelRequests)
	for hash, body := range a.objects {
		if a.base.hashes[hash] {
			continue
		}
		group.Go(func() error {
			return retry(ctx, func() (bool, error) {
				err := a.store.objects.Put(ctx, hash, body)
				return err == nil, err
			})
		})
	}
	return group.Wait()
}

// accept makes the conditional write. If its answer is lost, it reads the item
// and repeats the same write until one of them settles the outcome: while the
// item is still at the expected generation, the first write may yet take effect.
func (a *apply) accept(ctx context.Context) (Result, error) {
	backoff := firstBackoff
	for {
		err := a.store.table.PutIf(ctx, itemKey, a.item, a.expected)
		if err == nil {
			return a.done(), nil
		}
		a.unknown = a.unknown || errors.Is(err, platform.ErrUnknownOutcome)
		if !a.unknown && !errors.Is(err, platform.ErrConflict) {
			return Result{}, err
		}
		result, settled, resolveErr := a.resolve(ctx)
		if settled {
			return result, resolveErr
		}
		if !wait.Sleep(ctx, backoff) {
			return Result{}, a.unsettled(errors.CombineErrors(err, resolveErr))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (a *apply) done() Result {
	return Result{Generation: a.item.Generation, ApplyID: a.item.ApplyID, Changes: a.changes}
}

// unsettled returns the error of an apply that ran out of time. Another apply's
// item at the wanted generation proves that this one lost, even if the other
// manifest could not be read.
func (a *apply) unsettled(err error) error {
	lost := a.seen.Generation == a.item.Generation && a.seen.ApplyID != a.item.ApplyID
	if lost || !a.unknown {
		return &ConflictError{Base: a.expected, Theirs: a.seen}
	}
	return &UnknownOutcomeError{ApplyID: a.item.ApplyID, Generation: a.item.Generation, Err: err}
}
