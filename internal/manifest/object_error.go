package manifest

import "fmt"

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
