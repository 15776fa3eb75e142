package platform

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// StaleTermError reports that a call does not fit the endpoint's term and
// holder: the endpoint has a higher term, or the same term for another holder,
// or, for Promote and Follow, was not advanced to the term of the call.
type StaleTermError struct {
	Address string
	// CallTerm is the term of the failed call.
	CallTerm uint64
	// EndpointTerm is the endpoint's term.
	EndpointTerm uint64
}

// Error implements error.
func (e *StaleTermError) Error() string {
	return fmt.Sprintf("endpoint %s is at term %d, call was for term %d", e.Address, e.EndpointTerm, e.CallTerm)
}

// Errors of the table and the object store.
var (
	// ErrConflict reports that the condition of a conditional write did not hold;
	// the write did not take effect.
	ErrConflict = errors.New("conditional write conflicts with another write")
	// ErrNotFound reports that the record or object does not exist.
	ErrNotFound = errors.New("item not found")
	// ErrUnknownOutcome reports that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is not known")
)
