package manifeststore

import (
	"fmt"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// ErrNoManifest reports that no manifest was accepted yet. It is also
// platform.ErrNotFound.
var ErrNoManifest = fmt.Errorf("no manifest was accepted yet: %w", platform.ErrNotFound)

// ConflictError reports that the accepted manifest is not the one that the
// apply was based on. The apply did not and will not take effect.
type ConflictError struct {
	// Base is the generation that the apply was based on.
	Base uint64
	// Theirs is the accepted item.
	Theirs platform.ManifestRecord
	// TheirChanges lead from Base to the accepted manifest. BaseKnown is false
	// if the manifest of Base could not be read.
	TheirChanges []manifest.Change
	BaseKnown    bool
	// OurChanges lead from the accepted manifest to the one that was applied;
	// they include the loss of TheirChanges.
	OurChanges []manifest.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("manifest is at generation %d by %q, the apply was based on generation %d",
		e.Theirs.Generation, e.Theirs.Operator, e.Base)
}

// UnknownOutcomeError reports that the apply may or may not have taken effect,
// or may still do so.
type UnknownOutcomeError struct {
	// ApplyID identifies the apply.
	ApplyID string
	// Generation is the one that the apply asked for.
	Generation uint64
	Err        error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of apply %s for generation %d is not known: %s", e.ApplyID, e.Generation, e.Err)
}

// Unwrap returns the last error seen.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Is makes errors.Is find platform.ErrUnknownOutcome.
func (e *UnknownOutcomeError) Is(target error) bool { return target == platform.ErrUnknownOutcome }
