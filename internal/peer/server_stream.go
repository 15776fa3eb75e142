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

// serverStream is the owner's side of one exchange stream.
type serverStream struct {
	cfg      ServiceConfig
	inFlight *inFlightTracker
	conn     *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse]
	address  string
	out      *sendQueue[*peerv1.Answer]
	// ctx ends when the stream breaks; it is the parent of each request's ctx.
	ctx        context.Context
	cancel     context.CancelFunc
	generation uint64
	// emptyFramePending is true while an empty frame is due, either as a probe or
	// as the answer to one.
	emptyFramePending atomic.Bool
	monitor           *livenessMonitor

	mu               sync.Mutex
	running          map[requestID]*answerWriter
	openTransactions map[string]struct{}
	// transactionsClosed is true once closeTransactions has started; transactions
	// that requests leave open afterwards are closed at once.
	transactionsClosed bool
	// entryFinished is true once the entry has closed its side of the stream.
	entryFinished bool
	// allAnswered is closed when entryFinished is true and no request is running.
	allAnswered chan struct{}
}

// newServerStream returns a stream that is not running yet.
func newServerStream(
	ctx context.Context,
	cfg ServiceConfig,
	inFlight *inFlightTracker,
	conn *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse],
	address string,
) *serverStream {
	ctx, cancel := context.WithCancel(ctx)
	s := &serverStream{
		cfg:              cfg,
		inFlight:         inFlight,
		conn:             conn,
		address:          address,
		out:              newSendQueue(func(a *peerv1.Answer) int { return proto.Size(a) }),
		ctx:              ctx,
		cancel:           cancel,
		running:          make(map[requestID]*answerWriter),
		openTransactions: make(map[string]struct{}),
		allAnswered:      make(chan struct{}),
	}
	s.monitor = newLivenessMonitor(s.inUse, s.sendEmptyFrame, cancel)
	return s
}

// inUse reports whether requests are running or transactions are open. Both
// must be ended if the entry has become unreachable.
func (s *serverStream) inUse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running)+len(s.openTransactions) > 0
}

// sendEmptyFrame makes the sender send an empty frame.
func (s *serverStream) sendEmptyFrame() {
	s.emptyFramePending.Store(true)
	s.out.wakeSender()
}

// run runs the stream until it ends. The first frame is empty; it tells the
// entry that the stream is established.
func (s *serverStream) run() error {
	defer s.monitor.stop()
	defer s.cancel()
	if err := s.sendFrame(nil); err != nil {
		return err
	}
	sent := make(chan struct{})
	received := make(chan error, 1)
	go func() {
		defer close(sent)
		s.sendLoop()
	}()
	go func() { received <- s.receiveLoop() }()
	err := s.waitEnd(received)
	s.cancel()
	// If the entry is unreachable, the sender may block until the connection is
	// closed, so the transactions are closed without waiting for the sender.
	s.closeTransactions()
	<-sent
	return err
}

// waitEnd waits until the stream breaks, the service closes, or the entry has
// closed its side and every running request is answered.
func (s *serverStream) waitEnd(received <-chan error) error {
	select {
	case <-s.ctx.Done():
		return nil
	case err := <-received:
		if err != nil {
			return err
		}
	}
	select {
	case <-s.allAnswered:
	case <-s.ctx.Done():
	}
	return nil
}

// receiveLoop handles frames until the stream ends. It returns nil if the entry
// closed its side.
func (s *serverStream) receiveLoop() error {
	for {
		frame, err := s.conn.Receive()
		if errors.Is(err, io.EOF) {
			s.markEntryFinished()
			return nil
		}
		if err != nil {
			return err
		}
		s.monitor.frameReceived()
		if g := frame.GetManifestGeneration(); g != s.generation {
			s.generation = g
			s.cfg.ControlHandler.ObserveGeneration(s.address, g)
		}
		if len(frame.GetMessages()) == 0 {
			s.sendEmptyFrame()
		}
		for _, m := range frame.GetMessages() {
			if err := s.handle(m); err != nil {
				return connect.NewError(connect.CodeInvalidArgument, err)
			}
		}
	}
}

// handle dispatches one message of the entry. It does not block.
func (s *serverStream) handle(m *peerv1.EntryMessage) error {
	switch body := m.GetBody().(type) {
	case *peerv1.EntryMessage_Request:
		return s.startRequest(body.Request)
	case *peerv1.EntryMessage_Credit:
		if w := s.writerOf(body.Credit.GetRequestId()); w != nil {
			w.addCredit(int(body.Credit.GetBytes()))
		}
	case *peerv1.EntryMessage_Cancel:
		if w := s.writerOf(body.Cancel.GetRequestId()); w != nil {
			w.cancel()
		}
	case *peerv1.EntryMessage_CloseTransaction:
		s.closeTransaction(string(body.CloseTransaction.GetTransactionId()))
	}
	return nil
}

// startRequest starts a request on a goroutine of its own.
func (s *serverStream) startRequest(req *peerv1.Request) error {
	id, ok := toRequestID(req.GetRequestId())
	if !ok {
		return ErrBadRequestID
	}
	if s.ctx.Err() != nil {
		return ErrEntryDisconnected
	}
	if !s.inFlight.begin(req) {
		s.out.push(drainingAnswer(req))
		return nil
	}
	ctx, cancel := context.WithCancel(s.ctx)
	w := newAnswerWriter(ctx, cancel, s, req)
	if !s.register(id, w) {
		cancel()
		s.inFlight.end(nil, idleStatus)
		return ErrBadRequestID
	}
	go s.serve(ctx, req, w)
	return nil
}

// serve runs one request. If the handler panics or returns without Finish, which are
// bugs, the entry gets the outcome unknown instead of no answer.
func (s *serverStream) serve(ctx context.Context, req *peerv1.Request, w *answerWriter) {
	defer w.cancel()
	// The guard logs a panic.
	_ = s.cfg.Guard.Do("request of another daemon", func() { s.cfg.RequestHandler.Serve(ctx, req, w) })
	w.Finish(&peerv1.Answer{
		Outcome: peerv1.Outcome_OUTCOME_UNKNOWN,
		Reason:  string(metrics.UnknownOwnerLost),
	})
}

// drainingAnswer refuses a request because the service is draining.
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

// register adds a running request; false if its ID is in use.
func (s *serverStream) register(id requestID, w *answerWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, used := s.running[id]; used {
		return false
	}
	s.running[id] = w
	s.monitor.requestStarted()
	return true
}

// writerOf returns the writer of the running request with an ID, nil if there
// is none.
func (s *serverStream) writerOf(b []byte) *answerWriter {
	id, ok := toRequestID(b)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[id]
}

// finishRequest queues the end of an answer and removes the request. If the
// transaction was closed while the request was running and the request left it
// open, finishRequest closes it again.
func (s *serverStream) finishRequest(w *answerWriter, end *peerv1.Answer) {
	transactionID := w.transactionID()
	s.out.push(end)
	s.mu.Lock()
	delete(s.running, w.id)
	open := end.GetTransactionStatus() != "" && end.GetTransactionStatus() != idleStatus
	if open {
		s.openTransactions[string(transactionID)] = struct{}{}
	} else {
		delete(s.openTransactions, string(transactionID))
	}
	closedMeanwhile := s.transactionsClosed || w.transactionClosed
	s.closeIfAllAnswered()
	s.mu.Unlock()
	s.inFlight.end(transactionID, end.GetTransactionStatus())
	if open && closedMeanwhile {
		s.closeTransaction(string(transactionID))
	}
}

// markEntryFinished records that the entry has closed its side of the stream.
func (s *serverStream) markEntryFinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryFinished = true
	s.closeIfAllAnswered()
}

// closeIfAllAnswered closes allAnswered if no request can follow or is running.
// The caller holds the lock. No request is added after entryFinished is set, so
// the channel is closed once.
func (s *serverStream) closeIfAllAnswered() {
	if s.entryFinished && len(s.running) == 0 {
		close(s.allAnswered)
	}
}

// closeTransaction rolls back a transaction of this stream. A running request
// may still leave the transaction open, so finishRequest closes it again.
func (s *serverStream) closeTransaction(id string) {
	s.mu.Lock()
	delete(s.openTransactions, id)
	for _, w := range s.running {
		w.transactionClosed = w.transactionClosed || string(w.transactionID()) == id
	}
	s.mu.Unlock()
	s.cfg.RequestHandler.CloseTransaction([]byte(id))
	s.inFlight.removeTransaction(id)
}

// closeTransactions rolls back the transactions that are open when the stream
// ends.
func (s *serverStream) closeTransactions() {
	s.mu.Lock()
	s.transactionsClosed = true
	ids := make([]string, 0, len(s.openTransactions))
	for id := range s.openTransactions {
		ids = append(ids, id)
	}
	s.mu.Unlock()
	for _, id := range ids {
		s.closeTransaction(id)
	}
}

// sendLoop sends queued answers as soon as there are any; it does not wait for
// a frame to fill. When the stream ends it sends the remaining answers, so that
// they reach an entry that has only closed its side.
func (s *serverStream) sendLoop() {
	for {
		select {
		case <-s.ctx.Done():
			s.flush()
			return
		case <-s.out.wake:
		}
		answers := s.out.takeFrame()
		if len(answers) == 0 && !s.emptyFramePending.Swap(false) {
			continue
		}
		if s.sendFrame(answers) != nil {
			s.cancel()
			return
		}
	}
}

// flush sends the queued answers until the first error.
func (s *serverStream) flush() {
	for {
		answers := s.out.takeFrame()
		if len(answers) == 0 || s.sendFrame(answers) != nil {
			return
		}
	}
}

// sendFrame sends one frame.
func (s *serverStream) sendFrame(answers []*peerv1.Answer) error {
	return s.conn.Send(&peerv1.ExchangeResponse{
		Answers:            answers,
		ManifestGeneration: s.cfg.Generation(),
	})
}
