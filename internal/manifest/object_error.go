package manifest

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/findings"
)

// ObjectError reports an object that is missing, damaged or not valid.
type ObjectError struct {
	// Hash is the object's key.
	Hash string
	Err  error
}

// Error implements error.
func (e *ObjectError) Error() string {
	return fmt.Sprintf("manifest object %s: %s", e.Hash, e.Err)
}

// Unwrap returns the cause.
func (e *ObjectError) Unwrap() error { return e.Err }

// IsInvalid reports whether the error says that content is damaged or not
// valid, as opposed to not available.
func IsInvalid(err error) bool {
	var list findings.List
	return errors.Is(err, errHash) || errors.Is(err, errDecode) || errors.As(err, &list)
}

// IsDamaged reports whether the error says that content does not have its hash.
func IsDamaged(err error) bool { return errors.Is(err, errHash) }
