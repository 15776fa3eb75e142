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

// applyTimeout is the time limit of one apply, including the resolution of lost
// answers.
const applyTimeout = 20 * time.Second

// Apply accepts the document as the generation after base; base 0 means that no
// manifest was accepted yet. It returns
//   - findings.List if the document is not valid, or if it is not safe to replace
//     the manifest in force by it;
//   - *ConflictError if the accepted manifest is not that of base;
//   - *UnknownOutcomeError if the apply may or may not have taken effect;
//   - another error if the apply did not take effect.
//
// If the accepted manifest already equals the document, Apply writes nothing and
// sets Unchanged in the result, whatever base is. Apply is therefore idempotent.
func (s *Store) Apply(ctx context.Context, doc *manifest.Document, base uint64, operator string) (Result, error) {
	if list := doc.Validate(); len(list) > 0 {
		return Result{}, list
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := s.loadOrEmpty(ctx)
	if err != nil {
		return Result{}, err
	}
	a := newApply(s, doc, base, operator, current)
	if len(a.changes) == 0 {
		return Result{Generation: current.Record.Generation, Unchanged: true}, nil
	}
	if current.Record.Generation != base {
		return Result{}, a.conflictError(ctx, current)
	}
	if list := manifest.CheckTransition(current.Document, doc); len(list) > 0 {
		return Result{}, list
	}
	if err := a.writeObjects(ctx); err != nil {
		return Result{}, errors.Wrap(err, "write manifest objects")
	}
	return a.writeRecord(ctx)
}

// apply is one apply in progress.
type apply struct {
	store   *Store
	doc     *manifest.Document
	current *Accepted
	record  platform.ManifestRecord
	objects map[string][]byte
	changes []manifest.Change
	// baseGeneration is the generation that the apply is based on.
	baseGeneration uint64
	// answerLost is true once the answer to a write was lost. That write may still
	// take effect at any later time.
	answerLost bool
	// lastRead is the record read last; another apply may have written it.
	lastRead platform.ManifestRecord
}

func newApply(s *Store, doc *manifest.Document, base uint64, operator string, current *Accepted) *apply {
	root, objects := manifest.SplitWithHistory(doc, current.nextHistory())
	return &apply{
		store:          s,
		doc:            doc,
		current:        current,
		record:         platform.ManifestRecord{Generation: base + 1, ApplyID: uuid.NewString(), Root: root, Operator: operator},
		objects:        objects,
		changes:        manifest.Diff(current.Document, doc),
		baseGeneration: base,
	}
}

// writeObjects writes the objects that the current manifest does not have.
func (a *apply) writeObjects(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelRequests)
	for hash, body := range a.objects {
		if a.current.objectHashes[hash] {
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

// writeRecord makes the conditional write that accepts the manifest. If its
// answer is lost, it reads the record and repeats the same write until the
// outcome is settled: while the record is still at the base generation, the
// first write may yet take effect.
func (a *apply) writeRecord(ctx context.Context) (Result, error) {
	backoff := initialBackoff
	for {
		err := a.store.table.PutIf(ctx, recordKey, a.record, a.baseGeneration)
		if err == nil {
			return a.result(), nil
		}
		a.answerLost = a.answerLost || errors.Is(err, platform.ErrUnknownOutcome)
		if !a.answerLost && !errors.Is(err, platform.ErrConflict) {
			return Result{}, err
		}
		result, settled, resolveErr := a.resolve(ctx)
		if settled {
			return result, resolveErr
		}
		if !wait.Sleep(ctx, backoff) {
			return Result{}, a.unresolvedError(errors.CombineErrors(err, resolveErr))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// result returns the result of an apply that took effect.
func (a *apply) result() Result {
	return Result{Generation: a.record.Generation, ApplyID: a.record.ApplyID, Changes: a.changes}
}

// unresolvedError returns the error of an apply whose outcome was not resolved
// in time. If another apply wrote the record of the wanted generation, this one
// has failed, even if the other manifest could not be read.
func (a *apply) unresolvedError(err error) error {
	lostToOther := a.lastRead.Generation == a.record.Generation && a.lastRead.ApplyID != a.record.ApplyID
	if lostToOther || !a.answerLost {
		return &ConflictError{Base: a.baseGeneration, Theirs: a.lastRead}
	}
	return &UnknownOutcomeError{ApplyID: a.record.ApplyID, Generation: a.record.Generation, Err: err}
}
