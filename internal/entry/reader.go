package entry

import (
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// errCallerDisconnected reports that the caller has closed or lost the connection.
var errCallerDisconnected = errors.New("the caller has disconnected")

// readEvent is sent by the reader to the goroutine that serves the connection.
type readEvent struct {
	// batch is a complete batch; nil if the other fields say why there is none.
	batch *batch
	// timeout is true if the read deadline has passed, betweenBatches if no part of the
	// next batch had arrived by then.
	timeout, betweenBatches bool
	// refusal ends the connection after a malformed or oversized message.
	refusal *refusal
	// err ends the connection.
	err error
}

// reader reads complete batches from a caller.
type reader struct {
	backend *pgproto3.Backend
	counter *countingReader
	// consumedBytes is the total size of the messages read so far. If it is below
	// counter.total, a part of the next message has arrived.
	consumedBytes int64
	maxBytes      int
	batch         *batch
}

// countingReader counts the bytes read from a connection.
type countingReader struct {
	conn  net.Conn
	total atomic.Int64
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.conn.Read(b)
	r.total.Add(int64(n))
	return n, err
}

// run reads batches until the connection ends. If the connection is lost, it calls onLost
// at once, because a batch may still be running.
func (r *reader) run(ctx context.Context, events chan<- readEvent, onLost context.CancelFunc) {
	for {
		e := r.readBatch()
		if e.err != nil && !errors.Is(e.err, io.EOF) {
			onLost()
		}
		select {
		case events <- e:
		case <-ctx.Done():
			return
		}
		if e.err != nil || e.refusal != nil {
			return
		}
	}
}

// readBatch reads one batch. The error is io.EOF if the caller sent Terminate.
func (r *reader) readBatch() readEvent {
	if r.batch == nil {
		r.batch = &batch{}
	}
	for {
		msg, err := r.backend.Receive()
		if err != nil {
			return r.errorEvent(err)
		}
		ended, e := r.addMessage(msg)
		if e != nil {
			return *e
		}
		if ended {
			b := r.batch
			r.batch = nil
			return readEvent{batch: b}
		}
	}
}

// errorEvent returns the event for an error of Receive.
func (r *reader) errorEvent(err error) readEvent {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	var netErr net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return readEvent{timeout: true, betweenBatches: r.batch.empty() && r.counter.total.Load() == r.consumedBytes}
	case errors.As(err, &tooLong):
		return readEvent{refusal: oversizeRefusal(r.maxBytes)}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return readEvent{err: errCallerDisconnected}
	default:
		return readEvent{refusal: malformedRefusal(err.Error())}
	}
}

// addMessage appends a message to the batch and reports whether it ends the batch. It
// replaces the name of a prepared statement in the message by the empty name.
func (r *reader) addMessage(msg pgproto3.FrontendMessage) (bool, *readEvent) {
	parsed := message{}
	removedNameBytes := 0
	switch m := msg.(type) {
	case *pgproto3.Query:
		parsed = message{messageType: typeQuery, text: m.String}
	case *pgproto3.Parse:
		parsed = message{messageType: typeParse, statement: m.Name, text: m.Query}
		removedNameBytes, m.Name = len(m.Name), ""
	case *pgproto3.Bind:
		parsed = message{messageType: typeBind, statement: m.PreparedStatement}
		removedNameBytes, m.PreparedStatement = len(m.PreparedStatement), ""
	case *pgproto3.Describe:
		parsed = message{messageType: typeDescribe, objectType: m.ObjectType}
		if m.ObjectType == objectStatement {
			parsed.statement = m.Name
			removedNameBytes, m.Name = len(m.Name), ""
		}
	case *pgproto3.Close:
		parsed = message{messageType: typeClose, objectType: m.ObjectType}
		if m.ObjectType == objectStatement {
			parsed.statement = m.Name
			removedNameBytes, m.Name = len(m.Name), ""
		}
	case *pgproto3.Execute:
		parsed = message{messageType: typeExecute}
	case *pgproto3.Sync:
		parsed = message{messageType: typeSync}
	case *pgproto3.Flush:
		parsed = message{messageType: typeFlush}
	case *pgproto3.FunctionCall:
		parsed = message{messageType: typeFunctionCall}
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// The rest of a COPY that was refused is ignored, as PostgreSQL does.
		encoded, _ := msg.Encode(nil)
		r.consumedBytes += int64(len(encoded))
		return false, nil
	case *pgproto3.Terminate:
		return false, &readEvent{err: io.EOF}
	default:
		return false, &readEvent{refusal: malformedRefusal("message is not allowed here")}
	}
	return r.appendMessage(msg, parsed, removedNameBytes)
}

// appendMessage appends the encoded message to the batch. removedNameBytes is the length
// of the name that addMessage removed from it.
func (r *reader) appendMessage(msg pgproto3.FrontendMessage, m message, removedNameBytes int) (bool, *readEvent) {
	data, err := msg.Encode(r.batch.data)
	if err != nil {
		return false, &readEvent{refusal: malformedRefusal(err.Error())}
	}
	m.start, m.end = len(r.batch.data), len(data)
	r.consumedBytes += int64(m.end - m.start + removedNameBytes)
	if len(data) > r.maxBytes+messageHeaderBytes || len(r.batch.messages) >= maxBatchMessages {
		return false, &readEvent{refusal: oversizeRefusal(r.maxBytes)}
	}
	if m.messageType == typeFlush && len(r.batch.messages) == 0 {
		return false, nil
	}
	if m.messageType == typeQuery && len(r.batch.messages) > 0 {
		return false, &readEvent{refusal: malformedRefusal("Query within an extended batch")}
	}
	r.batch.data = data
	r.batch.messages = append(r.batch.messages, m)
	return m.messageType == typeQuery || m.messageType == typeSync || m.messageType == typeFlush || m.messageType == typeFunctionCall, nil
}

// messageHeaderBytes is the size of the type and length fields that start a message.
const messageHeaderBytes = 5

// oversizeRefusal returns the refusal of a message or batch that is too long.
func oversizeRefusal(maxBytes int) *refusal {
	return notRun(stateLimitExceeded, metrics.RefusedOversize, "message or batch is longer than %d bytes", maxBytes).asFatal()
}

// malformedRefusal returns the refusal of a message that violates the protocol.
func malformedRefusal(problem string) *refusal {
	return notRun(stateProtocolViolation, metrics.RefusedProtocol, "malformed message: %s", problem).asFatal()
}
