package manifeststore

import (
	"fmt"

	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// ErrNoManifest reports that no manifest was accepted yet. It wraps
// platform.ErrNotFound.
var ErrNoManifest = fmt.Errorf("no manifest was accepted yet: %w", platform.ErrNotFound)

// ConflictError reports that the accepted manifest is not the one that the
// apply was based on. The apply did not take effect and never will.
type ConflictError struct {
	// Base is the generation that the apply was based on.
	Base uint64
	// Theirs is the record of the accepted manifest.
	Theirs platform.ManifestRecord
	// TheirChanges lead from the manifest of Base to the accepted one. They are
	// set only if BaseKnown, that is, if the manifest of Base could be read.
	TheirChanges []manifest.Change
	BaseKnown    bool
	// OurChanges lead from the accepted manifest to the one to be applied. They
	// include undoing TheirChanges.
	OurChanges []manifest.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("manifest is at generation %d by %q, the apply was based on generation %d",
		e.Theirs.Generation, e.Theirs.Operator, e.Base)
}

// UnknownOutcomeError reports that the apply may have taken effect or may still
// do so.
type UnknownOutcomeError struct {
	// ApplyID identifies the apply.
	ApplyID string
	// Generation is the generation that the apply would have created.
	Generation uint64
	Err        error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of apply %s for generation %d is not known: %s", e.ApplyID, e.Generation, e.Err)
}

// Unwrap returns the last error seen.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// Is makes errors.Is match platform.ErrUnknownOutcome.
func (e *UnknownOutcomeError) Is(target error) bool { return target == platform.ErrUnknownOutcome }
