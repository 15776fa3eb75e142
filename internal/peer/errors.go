package peer

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// StreamError reports that an exchange stream broke, or could not be opened,
// before the end of an answer arrived.
type StreamError struct {
	// Address is the owner's peer address.
	Address string
	// Sent is false if the request certainly never left this daemon.
	Sent bool
	// Cause is the failure of the stream.
	Cause error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("exchange stream to %s broke (request sent: %t): %v", e.Address, e.Sent, e.Cause)
}

// Unwrap returns the failure of the stream.
func (e *StreamError) Unwrap() error { return e.Cause }

// Errors of the exchange stream.
var (
	// ErrEntryGone is returned by AnswerWriter.Write after the entry's stream broke.
	ErrEntryGone = errors.New("the entry's exchange stream has ended")
	// ErrClosed reports that this daemon closed its streams.
	ErrClosed = errors.New("exchange streams are closed")
	// ErrEnded reports that the peer ended the stream.
	ErrEnded = errors.New("peer ended the exchange stream")
	// ErrBackOff reports that a dial failed a moment ago and is not repeated yet.
	ErrBackOff = errors.New("waiting before the next dial")
	// ErrConnectTimeout reports that a stream was not established in time.
	ErrConnectTimeout = errors.New("exchange stream was not established in time")
	// ErrSilent reports that the peer did not answer a probe.
	ErrSilent = errors.New("peer is silent")
	// ErrCreditExceeded reports that the owner sent more than the credit allowed.
	ErrCreditExceeded = errors.New("peer exceeded the credit of a request")
	// ErrBadRequestID reports a request ID of the wrong length or one in use.
	ErrBadRequestID = errors.New("request ID is malformed or in use")
)
