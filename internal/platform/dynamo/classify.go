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

// classify turns the error of a conditional write into one of the three
// outcomes. Only an answer of the service that says so, or a connection that
// was never made, proves that the write did not take effect.
func classify(err error) error {
	var conflict *types.ConditionalCheckFailedException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return errors.WithSecondaryError(platform.ErrConflict, err)
	case refused(err) || notConnected(err):
		return errors.Wrap(err, "write table")
	default:
		return fmt.Errorf("write table: %w: %w", platform.ErrUnknownOutcome, err)
	}
}

// refused reports whether the service answered that the request is at fault or
// throttled. A 5xx answer does not say whether the write took effect.
func refused(err error) bool {
	var answer *smithyhttp.ResponseError
	if !errors.As(err, &answer) {
		return false
	}
	code := answer.HTTPStatusCode()
	return code >= http.StatusBadRequest && code < http.StatusInternalServerError
}

// notConnected reports whether the request failed before it could be sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
