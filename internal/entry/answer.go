package entry

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"
)

// Buffer sizes for the answer to a caller.
const (
	// flushSize is the number of buffered bytes above which they are written to the
	// caller.
	flushSize = 16 << 10
	// maxPartialMessage is the size of the longest message that is buffered until it
	// is complete. If the answer breaks off in such a message, an error can still be
	// sent instead of it.
	maxPartialMessage = 64 << 10
)

// errMalformedAnswer reports that an owner's answer violates the PostgreSQL protocol.
var errMalformedAnswer = errors.New("the owner's answer is malformed")

// answerFilter writes the owner's answer to one attempt to the caller. It removes the
// ParseComplete of each Parse that the entry added, and every ReadyForQuery, because
// the entry sends its own.
type answerFilter struct {
	w     io.Writer
	batch *selfContainedBatch
	// received is the number of bytes received from the owner.
	received int
	// partial is the beginning of a message that is not complete yet.
	partial []byte
	// passThrough is the number of bytes still to come of a message that is longer than
	// maxPartialMessage and is passed on while it arrives.
	passThrough int
	// buffered holds the bytes that are not written to the caller yet.
	buffered []byte
	// started is true once a part of the answer was written to the caller.
	started bool
	// failed is true if the answer contains an ErrorResponse.
	failed bool
	// parseCount and closeCount are the numbers of ParseComplete and CloseComplete
	// messages so far.
	parseCount int
	closeCount int
	// statementChanges are the changes of prepared statements that the answer has
	// confirmed so far.
	statementChanges []statementChange
}

// Write processes the next bytes of the owner's answer.
func (a *answerFilter) Write(b []byte) (int, error) {
	n := len(b)
	a.received += n
	if len(a.partial) > 0 {
		a.partial = append(a.partial, b...)
		b = a.partial
	}
	rest, err := a.consume(b)
	if err != nil {
		return 0, err
	}
	a.partial = append(a.partial[:0], rest...)
	if len(a.buffered) >= flushSize {
		return n, a.flush()
	}
	return n, nil
}

// consume handles the complete messages in b and returns the rest.
func (a *answerFilter) consume(b []byte) ([]byte, error) {
	for len(b) > 0 {
		if a.passThrough > 0 {
			n := min(a.passThrough, len(b))
			a.buffered = append(a.buffered, b[:n]...)
			a.passThrough -= n
			b = b[n:]
			continue
		}
		if len(b) < messageHeaderBytes {
			return b, nil
		}
		size := 1 + int(binary.BigEndian.Uint32(b[1:messageHeaderBytes]))
		if size < messageHeaderBytes {
			return nil, errMalformedAnswer
		}
		if len(b) >= size {
			a.handleMessage(b[:size])
			b = b[size:]
			continue
		}
		if size <= maxPartialMessage {
			return b, nil
		}
		a.passThrough = size
	}
	return nil, nil
}

// handleMessage handles one complete message.
func (a *answerFilter) handleMessage(m []byte) {
	switch m[0] {
	case typeReadyForQuery:
		return
	case typeErrorResponse:
		a.failed = true
	case typeParseComplete:
		if a.handleParseComplete() {
			return
		}
	case typeCloseComplete:
		if a.closeCount < len(a.batch.closes) {
			a.statementChanges = append(a.statementChanges, a.batch.closes[a.closeCount])
			a.closeCount++
		}
	}
	a.buffered = append(a.buffered, m...)
}

// handleParseComplete counts a ParseComplete and reports whether it must be removed.
func (a *answerFilter) handleParseComplete() bool {
	if a.parseCount >= len(a.batch.parses) {
		return false
	}
	c := a.batch.parses[a.parseCount]
	a.parseCount++
	if c.injected {
		return true
	}
	a.statementChanges = append(a.statementChanges, c)
	return false
}

// canAppendError reports whether an ErrorResponse can follow what the caller has
// received: it has received nothing, or no message is incomplete.
func (a *answerFilter) canAppendError() bool { return a.passThrough == 0 || !a.started }

// appendError appends an error after the last complete message and drops an incomplete
// one. If nothing was written yet, the error replaces the answer.
func (a *answerFilter) appendError(r *refusal) {
	if !a.started {
		a.buffered = nil
		a.statementChanges = nil
	}
	a.partial = nil
	a.passThrough = 0
	a.buffered = encode(a.buffered, r.response())
	a.failed = true
}

// sendReady appends ReadyForQuery and flushes the answer.
func (a *answerFilter) sendReady(status byte) error {
	a.buffered = encode(a.buffered, &pgproto3.ReadyForQuery{TxStatus: status})
	return a.flush()
}

// flush writes the buffered bytes to the caller.
func (a *answerFilter) flush() error {
	if len(a.buffered) == 0 {
		return nil
	}
	a.started = true
	_, err := a.w.Write(a.buffered)
	a.buffered = a.buffered[:0]
	if err != nil {
		return errors.Mark(err, errCallerDisconnected)
	}
	return nil
}

// encode appends an encoded message to b. Encoding cannot fail for the messages that the
// entry sends.
func encode(b []byte, m pgproto3.BackendMessage) []byte {
	out, err := m.Encode(b)
	if err != nil {
		return b
	}
	return out
}
