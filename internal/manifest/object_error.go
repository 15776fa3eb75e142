package manifest

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// ObjectError reports an object that is missing, corrupt or not valid.
type ObjectError struct {
	// Hash is the object's hash.
	Hash string
	Err  error
}

// Error implements error.
func (e *ObjectError) Error() string {
	return fmt.Sprintf("manifest object %s: %s", e.Hash, e.Err)
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Err }

// IsInvalid reports whether err means that content is corrupt or not valid, as
// opposed to unavailable.
func IsInvalid(err error) bool {
	var list findings.List
	return errors.Is(err, errHashMismatch) || errors.Is(err, errUnreadable) || errors.As(err, &list)
}

// IsCorrupt reports whether err means that content does not match its hash.
func IsCorrupt(err error) bool { return errors.Is(err, errHashMismatch) }
