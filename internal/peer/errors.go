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
	// Sent is false only if the request was certainly not sent.
	Sent bool
	// Cause is why the stream ended.
	Cause error
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("exchange stream to %s broke (request sent: %t): %v", e.Address, e.Sent, e.Cause)
}

// Unwrap returns why the stream ended.
func (e *StreamError) Unwrap() error { return e.Cause }

// Errors of the exchange stream.
var (
	// ErrEntryDisconnected is returned by AnswerWriter.Write after the entry's
	// stream has ended.
	ErrEntryDisconnected = errors.New("the entry's exchange stream has ended")
	// ErrClosed reports that this daemon closed its streams.
	ErrClosed = errors.New("exchange streams are closed")
	// ErrPeerClosedStream reports that the peer ended the stream.
	ErrPeerClosedStream = errors.New("peer ended the exchange stream")
	// ErrDialBackoff reports that a recent dial failed and the next one is not due
	// yet.
	ErrDialBackoff = errors.New("waiting before the next dial")
	// ErrConnectTimeout reports that a stream was not established in time.
	ErrConnectTimeout = errors.New("exchange stream was not established in time")
	// ErrPeerUnresponsive reports that the peer did not answer a probe.
	ErrPeerUnresponsive = errors.New("peer did not answer a probe in time")
	// ErrCreditExceeded reports that the owner sent more than its credit allowed.
	ErrCreditExceeded = errors.New("peer exceeded the credit of a request")
	// ErrBadRequestID reports a request ID of the wrong length or one in use.
	ErrBadRequestID = errors.New("request ID is malformed or in use")
)
