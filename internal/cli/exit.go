package cli

import (
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/findings"
	"github.com/beryltrestle/beryltrestle/internal/manifeststore"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// Exit codes.
const (
	exitDone     = 0
	exitFailed   = 1
	exitFindings = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var list findings.List
	var conflict *manifeststore.ConflictError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &list):
		return exitFindings
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, platform.ErrUnknownOutcome):
		return exitUnknown
	default:
		return exitFailed
	}
}
