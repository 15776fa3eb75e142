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

// errCallerGone reports that the caller's connection ended.
var errCallerGone = errors.New("the caller's connection has ended")

// event is what the reader tells the connection's main goroutine.
type event struct {
	// batch is a whole batch; nil if the other fields say why there is none.
	batch *batch
	// timeout is true when the read deadline passed. quiet says that no part of a
	// batch had arrived.
	timeout, quiet bool
	// refusal ends the connection after a malformed or oversized message.
	refusal *refusal
	// err ends the connection.
	err error
}

// reader reads whole batches from a caller.
type reader struct {
	backend *pgproto3.Backend
	counter *countingReader
	// consumed is the number of bytes of the messages read so far.
	consumed int64
	limit    int
	batch    *batch
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

// run reads batches until the connection ends. A lost connection cancels at
// once, while a batch may still run.
func (r *reader) run(ctx context.Context, events chan<- event, lost context.CancelFunc) {
	for {
		e := r.next()
		if e.err != nil && !errors.Is(e.err, io.EOF) {
			lost()
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

// next reads up to the end of a batch. io.EOF means that the caller sent
// Terminate.
func (r *reader) next() event {
	if r.batch == nil {
		r.batch = &batch{}
	}
	for {
		msg, err := r.backend.Receive()
		if err != nil {
			return r.failed(err)
		}
		ended, e := r.add(msg)
		if e != nil {
			return *e
		}
		if ended {
			b := r.batch
			r.batch = nil
			return event{batch: b}
		}
	}
}

// failed sorts the errors of Receive.
func (r *reader) failed(err error) event {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	var netErr net.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return event{timeout: true, quiet: r.batch.empty() && r.counter.total.Load() == r.consumed}
	case errors.As(err, &tooLong):
		return event{refusal: oversize(r.limit)}
	case errors.As(err, &netErr), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return event{err: errCallerGone}
	default:
		return event{refusal: malformed(err.Error())}
	}
}

// add appends a message to the batch and reports whether it ends the batch.
func (r *reader) add(msg pgproto3.FrontendMessage) (bool, *event) {
	i := item{}
	renamed := 0
	switch m := msg.(type) {
	case *pgproto3.Query:
		i = item{kind: typeQuery, text: m.String}
	case *pgproto3.Parse:
		i = item{kind: typeParse, statement: m.Name, text: m.Query}
		renamed, m.Name = len(m.Name), ""
	case *pgproto3.Bind:
		i = item{kind: typeBind, statement: m.PreparedStatement}
		renamed, m.PreparedStatement = len(m.PreparedStatement), ""
	case *pgproto3.Describe:
		i = item{kind: typeDescribe, object: m.ObjectType}
		if m.ObjectType == objectStatement {
			i.statement = m.Name
			renamed, m.Name = len(m.Name), ""
		}
	case *pgproto3.Close:
		i = item{kind: typeClose, object: m.ObjectType}
		if m.ObjectType == objectStatement {
			i.statement = m.Name
			renamed, m.Name = len(m.Name), ""
		}
	case *pgproto3.Execute:
		i = item{kind: typeExecute}
	case *pgproto3.Sync:
		i = item{kind: typeSync}
	case *pgproto3.Flush:
		i = item{kind: typeFlush}
	case *pgproto3.FunctionCall:
		i = item{kind: typeFunctionCall}
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// What is left of a COPY that was refused is ignored, as PostgreSQL does.
		encoded, _ := msg.Encode(nil)
		r.consumed += int64(len(encoded))
		return false, nil
	case *pgproto3.Terminate:
		return false, &event{err: io.EOF}
	default:
		return false, &event{refusal: malformed("message is not allowed here")}
	}
	return r.store(msg, i, renamed)
}

// store appends the encoded message to the batch.
func (r *reader) store(msg pgproto3.FrontendMessage, i item, renamed int) (bool, *event) {
	data, err := msg.Encode(r.batch.data)
	if err != nil {
		return false, &event{refusal: malformed(err.Error())}
	}
	i.start, i.end = len(r.batch.data), len(data)
	r.consumed += int64(i.end - i.start + renamed)
	if len(data) > r.limit+messageOverhead || len(r.batch.items) >= maxBatchItems {
		return false, &event{refusal: oversize(r.limit)}
	}
	if i.kind == typeFlush && len(r.batch.items) == 0 {
		return false, nil
	}
	if i.kind == typeQuery && len(r.batch.items) > 0 {
		return false, &event{refusal: malformed("Query within an extended batch")}
	}
	r.batch.data = data
	r.batch.items = append(r.batch.items, i)
	return i.kind == typeQuery || i.kind == typeSync || i.kind == typeFlush || i.kind == typeFunctionCall, nil
}

// messageOverhead is the type and length of a message, in bytes.
const messageOverhead = 5

// oversize refuses a message or batch over the limit.
func oversize(limit int) *refusal {
	return notRun(stateLimitExceeded, metrics.RefusedOversize, "message or batch is longer than %d bytes", limit).ending()
}

// malformed refuses a message that breaks the protocol.
func malformed(problem string) *refusal {
	return notRun(stateProtocolViolation, metrics.RefusedProtocol, "malformed message: %s", problem).ending()
}
