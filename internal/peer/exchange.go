package peer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// exchange is the owner's side of one exchange stream.
type exchange struct {
	cfg     ServiceConfig
	load    *load
	conn    *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse]
	address string
	out     *outbox[*peerv1.Answer]
	// ctx ends when the stream breaks; it is the parent of each request's ctx.
	ctx        context.Context
	cancel     context.CancelFunc
	generation uint64
	// empty is true while an empty frame is to be sent, as a probe or as the answer
	// to one.
	empty   atomic.Bool
	monitor *monitor

	mu      sync.Mutex
	running map[requestID]*answerWriter
	open    map[string]struct{}
	// over is true once the stream's transactions have been rolled back.
	over bool
	// ended is true once the entry has sent its last message.
	ended bool
	// idle is closed when the entry has ended and no request runs.
	idle chan struct{}
}

// newExchange returns an exchange that is not yet running.
func newExchange(
	ctx context.Context,
	cfg ServiceConfig,
	l *load,
	conn *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse],
	address string,
) *exchange {
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{
		cfg:     cfg,
		load:    l,
		conn:    conn,
		address: address,
		out:     newOutbox(func(a *peerv1.Answer) int { return proto.Size(a) }),
		ctx:     ctx,
		cancel:  cancel,
		running: make(map[requestID]*answerWriter),
		open:    make(map[string]struct{}),
		idle:    make(chan struct{}),
	}
	x.monitor = newMonitor(x.inUse, x.sendEmpty, cancel)
	return x
}

// inUse reports whether requests run or transactions are open, which must end
// if the entry has vanished.
func (x *exchange) inUse() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.running)+len(x.open) > 0
}

// sendEmpty makes the sender send an empty frame.
func (x *exchange) sendEmpty() {
	x.empty.Store(true)
	x.out.signal()
}

// run drives the stream until it ends. The first frame is empty; it tells the
// entry that the stream is established.
func (x *exchange) run() error {
	defer x.monitor.stop()
	defer x.cancel()
	if err := x.sendFrame(nil); err != nil {
		return err
	}
	sent := make(chan struct{})
	received := make(chan error, 1)
	go func() {
		defer close(sent)
		x.sendAll()
	}()
	go func() { received <- x.receiveAll() }()
	err := x.waitEnd(received)
	x.cancel()
	// The sender may be blocked until the connection to a vanished entry is closed.
	x.closeTransactions()
	<-sent
	return err
}

// waitEnd waits until the stream broke, the service closes, or the entry ended
// the stream and every running request has been answered.
func (x *exchange) waitEnd(received <-chan error) error {
	select {
	case <-x.ctx.Done():
		return nil
	case err := <-received:
		if err != nil {
			return err
		}
	}
	select {
	case <-x.idle:
	case <-x.ctx.Done():
	}
	return nil
}

// receiveAll handles frames until the stream ends; nil if the entry ended it.
func (x *exchange) receiveAll() error {
	for {
		frame, err := x.conn.Receive()
		if errors.Is(err, io.EOF) {
			x.markEnded()
			return nil
		}
		if err != nil {
			return err
		}
		x.monitor.hear()
		if g := frame.GetManifestGeneration(); g != x.generation {
			x.generation = g
			x.cfg.ControlHandler.ObserveGeneration(x.address, g)
		}
		if len(frame.GetMessages()) == 0 {
			x.sendEmpty()
		}
		for _, m := range frame.GetMessages() {
			if err := x.handle(m); err != nil {
				return connect.NewError(connect.CodeInvalidArgument, err)
			}
		}
	}
}

// handle dispatches one message of the entry. It never blocks.
func (x *exchange) handle(m *peerv1.EntryMessage) error {
	switch body := m.GetBody().(type) {
	case *peerv1.EntryMessage_Request:
		return x.begin(body.Request)
	case *peerv1.EntryMessage_Credit:
		if w := x.writer(body.Credit.GetRequestId()); w != nil {
			w.addCredit(int(body.Credit.GetBytes()))
		}
	case *peerv1.EntryMessage_Cancel:
		if w := x.writer(body.Cancel.GetRequestId()); w != nil {
			w.cancel()
		}
	case *peerv1.EntryMessage_CloseTransaction:
		x.closeTransaction(string(body.CloseTransaction.GetTransactionId()))
	}
	return nil
}

// begin starts a request on a goroutine of its own.
func (x *exchange) begin(req *peerv1.Request) error {
	id, ok := toRequestID(req.GetRequestId())
	if !ok {
		return ErrBadRequestID
	}
	if x.ctx.Err() != nil {
		return ErrEntryGone
	}
	if !x.load.begin(req) {
		x.out.put(drainingAnswer(req))
		return nil
	}
	ctx, cancel := context.WithCancel(x.ctx)
	w := newAnswerWriter(ctx, cancel, x, req)
	if !x.add(id, w) {
		cancel()
		x.load.end(nil, idleStatus)
		return ErrBadRequestID
	}
	go x.serve(ctx, req, w)
	return nil
}

// serve runs one request. A server that returns without Finish is a fault of
// the owner; the entry then gets the outcome unknown instead of no answer.
func (x *exchange) serve(ctx context.Context, req *peerv1.Request, w *answerWriter) {
	defer w.cancel()
	x.cfg.RequestHandler.Serve(ctx, req, w)
	w.Finish(&peerv1.Answer{
		Outcome: peerv1.Outcome_OUTCOME_UNKNOWN,
		Reason:  string(metrics.UnknownOwnerLost),
	})
}

// drainingAnswer refuses a request because the service is stopping.
func drainingAnswer(req *peerv1.Request) *peerv1.Answer {
	return &peerv1.Answer{
		RequestId:         req.GetRequestId(),
		Last:              true,
		Outcome:           peerv1.Outcome_OUTCOME_NOT_RUN,
		Reason:            string(metrics.RefusedDraining),
		Sqlstate:          "57P01",
		Message:           "the owner of the pool is shutting down",
		TransactionStatus: idleStatus,
	}
}

// add registers a running request; false if the ID is in use.
func (x *exchange) add(id requestID, w *answerWriter) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, used := x.running[id]; used {
		return false
	}
	x.running[id] = w
	x.monitor.watch()
	return true
}

// writer returns the running request of an ID, nil if there is none.
func (x *exchange) writer(b []byte) *answerWriter {
	id, ok := toRequestID(b)
	if !ok {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.running[id]
}

// finish queues the end of an answer and forgets the request.
func (x *exchange) finish(w *answerWriter, end *peerv1.Answer) {
	transactionID := w.transactionID()
	x.out.put(end)
	x.mu.Lock()
	delete(x.running, w.id)
	open := end.GetTransactionStatus() != "" && end.GetTransactionStatus() != idleStatus
	if open {
		x.open[string(transactionID)] = struct{}{}
	} else {
		delete(x.open, string(transactionID))
	}
	abandoned := x.over || w.abandoned
	x.checkIdle()
	x.mu.Unlock()
	x.load.end(transactionID, end.GetTransactionStatus())
	if open && abandoned {
		x.closeTransaction(string(transactionID))
	}
}

// markEnded records that the entry sends nothing more.
func (x *exchange) markEnded() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ended = true
	x.checkIdle()
}

// checkIdle is called with the lock held. Nothing is added to running after
// ended, so idle is closed once.
func (x *exchange) checkIdle() {
	if x.ended && len(x.running) == 0 {
		close(x.idle)
	}
}

// closeTransaction rolls back a transaction of this stream. A request that is
// still running may leave it open, so it is closed again when that request ends.
func (x *exchange) closeTransaction(id string) {
	x.mu.Lock()
	delete(x.open, id)
	for _, w := range x.running {
		w.abandoned = w.abandoned || string(w.transactionID()) == id
	}
	x.mu.Unlock()
	x.cfg.RequestHandler.CloseTransaction([]byte(id))
	x.load.closed(id)
}

// closeTransactions rolls back what the stream left open when it ended.
func (x *exchange) closeTransactions() {
	x.mu.Lock()
	x.over = true
	ids := make([]string, 0, len(x.open))
	for id := range x.open {
		ids = append(ids, id)
	}
	x.mu.Unlock()
	for _, id := range ids {
		x.closeTransaction(id)
	}
}

// sendAll sends what waits, without waiting for more. After the end it sends
// what is left, so that answers of a stream that the entry ended arrive.
func (x *exchange) sendAll() {
	for {
		select {
		case <-x.ctx.Done():
			x.flush()
			return
		case <-x.out.wake:
		}
		answers := x.out.take()
		if len(answers) == 0 && !x.empty.Swap(false) {
			continue
		}
		if x.sendFrame(answers) != nil {
			x.cancel()
			return
		}
	}
}

// flush sends what is left, until the first error.
func (x *exchange) flush() {
	for {
		answers := x.out.take()
		if len(answers) == 0 || x.sendFrame(answers) != nil {
			return
		}
	}
}

// sendFrame sends one frame.
func (x *exchange) sendFrame(answers []*peerv1.Answer) error {
	return x.conn.Send(&peerv1.ExchangeResponse{
		Answers:            answers,
		ManifestGeneration: x.cfg.Generation(),
	})
}
