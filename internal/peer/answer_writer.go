package peer

import (
	"context"
	"sync"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// answerWriter implements AnswerWriter for one running request.
type answerWriter struct {
	id     requestID
	req    *peerv1.Request
	stream *serverStream
	ctx    context.Context
	cancel context.CancelFunc
	// chunk holds the bytes that do not fill a chunk yet.
	chunk []byte
	// truncated is true once a part of the answer could not be sent.
	truncated bool
	// transactionClosed is true if the entry closed the transaction while the
	// request was running. The stream's lock guards it.
	transactionClosed bool
	finishOnce        sync.Once

	mu     sync.Mutex
	credit int
	// creditAdded holds a token after credit has arrived.
	creditAdded chan struct{}
}

var _ AnswerWriter = (*answerWriter)(nil)

// newAnswerWriter returns the writer of a request.
func newAnswerWriter(ctx context.Context, cancel context.CancelFunc, stream *serverStream, req *peerv1.Request) *answerWriter {
	return &answerWriter{
		id:          requestID(req.GetRequestId()),
		req:         req,
		stream:      stream,
		ctx:         ctx,
		cancel:      cancel,
		credit:      CreditWindow,
		creditAdded: make(chan struct{}, 1),
	}
}

// Write implements AnswerWriter. After a Cancel it does not wait for credit,
// because an entry that has abandoned the request returns none.
func (w *answerWriter) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		n := min(ChunkSize-len(w.chunk), len(b)-written)
		w.chunk = append(w.chunk, b[written:written+n]...)
		written += n
		if len(w.chunk) < ChunkSize {
			break
		}
		if err := w.sendChunk(); err != nil {
			return written, err
		}
	}
	if w.stream.ctx.Err() != nil {
		return written, ErrEntryDisconnected
	}
	return written, nil
}

// Finish implements AnswerWriter.
func (w *answerWriter) Finish(end *peerv1.Answer) {
	w.finishOnce.Do(func() {
		w.attachRest(end)
		if w.truncated {
			markTruncated(end)
		}
		end.RequestId = w.id[:]
		end.Last = true
		w.stream.finishRequest(w, end)
	})
}

// attachRest waits for credit and adds the remaining bytes to the end of the
// answer.
func (w *answerWriter) attachRest(end *peerv1.Answer) {
	if w.truncated || len(w.chunk) == 0 || w.waitCredit(len(w.chunk)) != nil {
		return
	}
	end.Chunk = w.chunk
	w.chunk = nil
}

// markTruncated turns the end of a canceled answer into an error, so that the
// entry never takes a partial answer for a complete one.
func markTruncated(end *peerv1.Answer) {
	end.Outcome = peerv1.Outcome_OUTCOME_UNKNOWN
	end.Reason = string(metrics.UnknownCanceled)
	end.Sqlstate = "57014"
	end.Message = "canceled while the answer was being sent"
}

// sendChunk waits for credit and sends the buffered bytes.
func (w *answerWriter) sendChunk() error {
	if err := w.waitCredit(len(w.chunk)); err != nil {
		return err
	}
	w.stream.out.push(&peerv1.Answer{RequestId: w.id[:], Chunk: w.chunk})
	w.chunk = nil
	return nil
}

// waitCredit waits for n bytes of credit and takes them.
func (w *answerWriter) waitCredit(n int) error {
	for !w.takeCredit(n) {
		select {
		case <-w.creditAdded:
		case <-w.ctx.Done():
			w.truncated = true
			return ErrEntryDisconnected
		}
	}
	return nil
}

// takeCredit takes n bytes of credit, or returns false if there are fewer.
func (w *answerWriter) takeCredit(n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.credit < n {
		return false
	}
	w.credit -= n
	return true
}

// addCredit adds n bytes that the entry's sink has consumed.
func (w *answerWriter) addCredit(n int) {
	w.mu.Lock()
	w.credit += n
	w.mu.Unlock()
	select {
	case w.creditAdded <- struct{}{}:
	default:
	}
}

// transactionID returns the transaction that the request belongs to or begins.
func (w *answerWriter) transactionID() []byte {
	if id := w.req.GetTransactionId(); len(id) > 0 {
		return id
	}
	return w.req.GetRequestId()
}
