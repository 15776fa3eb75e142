package dynamo

import (
	"fmt"
	"net"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	smithyhttp "github.com/aws/smithy-go/transport/http"
	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// classifyWriteError converts the error of a conditional write to one of the
// three outcomes: not applied, conflict or unknown. A write certainly had no
// effect only if the service answered so or if no connection was made.
func classifyWriteError(err error) error {
	var conflict *types.ConditionalCheckFailedException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return errors.WithSecondaryError(platform.ErrConflict, err)
	case isClientError(err) || isDialError(err):
		return errors.Wrap(err, "write table")
	default:
		return fmt.Errorf("write table: %w: %w", platform.ErrUnknownOutcome, err)
	}
}

// isClientError reports whether the service rejected the request as invalid or
// throttled it. A 5xx response does not tell whether the write took effect.
func isClientError(err error) bool {
	var answer *smithyhttp.ResponseError
	if !errors.As(err, &answer) {
		return false
	}
	code := answer.HTTPStatusCode()
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError
}

// isDialError reports whether the connection failed, so that the request was
// not sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
