package peer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1/peerv1connect"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// idleStreamTimeout is the time without requests and open transactions after
// which a stream is closed, so that pings go only to owners in use.
const idleStreamTimeout = time.Minute

// idleStatus is the transaction status outside a transaction.
const idleStatus = "I"

// errStreamClosed reports that a stream accepts no further calls.
var errStreamClosed = errors.New("exchange stream accepts no further calls")

// outgoing is a queued message. call is set if the message is a request.
type outgoing struct {
	msg  *peerv1.EntryMessage
	call *call
}

// clientStream is the entry's side of one exchange stream.
type clientStream struct {
	cfg     Config
	address string
	client  peerv1connect.PeerServiceClient
	out     *sendQueue[outgoing]
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// established is closed when the owner's first frame has arrived.
	established chan struct{}
	generation  uint64
	monitor     *livenessMonitor
	// probePending is true while an empty frame, the probe, is due.
	probePending atomic.Bool

	mu               sync.Mutex
	closed           bool
	pending          map[requestID]*call
	openTransactions map[string]struct{}
	lastUsed         time.Time
}

// newClientStream returns a stream that is not running yet.
func newClientStream(cfg Config, address string, client peerv1connect.PeerServiceClient) *clientStream {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &clientStream{
		cfg:              cfg,
		address:          address,
		client:           client,
		out:              newSendQueue(func(o outgoing) int { return proto.Size(o.msg) }),
		ctx:              ctx,
		cancel:           cancel,
		established:      make(chan struct{}),
		pending:          make(map[requestID]*call),
		openTransactions: make(map[string]struct{}),
		lastUsed:         time.Now(),
	}
	s.monitor = newLivenessMonitor(s.hasPending, s.sendProbe, func() { s.fail(ErrPeerUnresponsive) })
	return s
}

// hasPending reports whether requests are waiting for answers.
func (s *clientStream) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// sendProbe makes the sender send an empty frame; the owner answers it with an
// empty frame.
func (s *clientStream) sendProbe() {
	s.probePending.Store(true)
	s.out.wakeSender()
}

// register adds a call; it returns errStreamClosed if the stream has ended.
func (s *clientStream) register(c *call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errStreamClosed
	}
	if _, used := s.pending[c.id]; used {
		return ErrBadRequestID
	}
	s.pending[c.id] = c
	s.lastUsed = time.Now()
	s.monitor.requestStarted()
	return nil
}

// send queues a message for the sender.
func (s *clientStream) send(c *call, msg *peerv1.EntryMessage) {
	s.out.push(outgoing{msg: msg, call: c})
}

// fail ends the stream, so that pending calls return.
func (s *clientStream) fail(cause error) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.cancel(cause)
}

// cause returns why the stream ended.
func (s *clientStream) cause() error { return context.Cause(s.ctx) }

// run runs the stream until it ends. It reports whether the stream was
// established.
func (s *clientStream) run() bool {
	conn := s.client.Exchange(s.ctx)
	conn.RequestHeader().Set(addressHeader, s.cfg.Address)
	timer := time.AfterFunc(connectTimeout, func() { s.fail(ErrConnectTimeout) })
	defer timer.Stop()
	defer s.monitor.stop()
	if err := s.sendFrame(conn, nil); err != nil {
		s.fail(err)
		return false
	}
	if err := s.receive(conn); err != nil {
		s.fail(err)
		return false
	}
	if !timer.Stop() {
		return false
	}
	close(s.established)
	go s.sendLoop(conn)
	go s.closeWhenIdle()
	for {
		if err := s.receive(conn); err != nil {
			s.fail(err)
			_ = conn.CloseResponse()
			return true
		}
	}
}

// sendLoop sends queued messages as soon as there are any; it does not wait for
// a frame to fill.
func (s *clientStream) sendLoop(conn *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse]) {
	defer func() { _ = conn.CloseRequest() }()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.out.wake:
		}
		items := s.out.takeFrame()
		if len(items) == 0 && !s.probePending.Swap(false) {
			continue
		}
		if err := s.sendFrame(conn, items); err != nil {
			// The receiver usually reports why the stream broke; this cause counts if
			// only sending failed.
			s.fail(err)
			return
		}
	}
}

// sendFrame sends one frame.
func (s *clientStream) sendFrame(conn *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse], items []outgoing) error {
	frame := &peerv1.ExchangeRequest{ManifestGeneration: s.cfg.Generation()}
	frame.Messages = make([]*peerv1.EntryMessage, 0, len(items))
	for _, o := range items {
		if o.call != nil && !o.call.markSent() {
			continue
		}
		frame.Messages = append(frame.Messages, o.msg)
	}
	return conn.Send(frame)
}

// receive reads one frame and dispatches its answers.
func (s *clientStream) receive(conn *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse]) error {
	frame, err := conn.Receive()
	if errors.Is(err, io.EOF) {
		return ErrPeerClosedStream
	}
	if err != nil {
		return err
	}
	s.monitor.frameReceived()
	if g := frame.GetManifestGeneration(); g != s.generation {
		s.generation = g
		s.cfg.ObserveGeneration(s.address, g)
	}
	if len(frame.GetAnswers()) == 0 {
		s.answerProbe()
		return nil
	}
	for _, a := range frame.GetAnswers() {
		if err := s.dispatch(a); err != nil {
			return err
		}
	}
	return nil
}

// answerProbe answers an empty frame of the owner with an empty message, which
// the owner does not answer again. The first empty frame only establishes the
// stream.
func (s *clientStream) answerProbe() {
	select {
	case <-s.established:
		s.send(nil, &peerv1.EntryMessage{})
	default:
	}
}

// dispatch passes an answer to its call. It discards and counts answers without
// one: the call was abandoned or never made.
func (s *clientStream) dispatch(a *peerv1.Answer) error {
	c := s.callOf(a)
	if c == nil {
		s.cfg.Metrics.Inc(metrics.AnswersDiscarded)
		return nil
	}
	if !c.push(a) {
		return ErrCreditExceeded
	}
	return nil
}

// callOf returns the call of an answer, nil if there is none. With the last
// answer the call stops being pending.
func (s *clientStream) callOf(a *peerv1.Answer) *call {
	id, ok := toRequestID(a.GetRequestId())
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.pending[id]
	if c != nil && a.GetLast() {
		delete(s.pending, id)
	}
	return c
}

// awaitAnswer passes each chunk to the sink and returns the end of the answer.
func (s *clientStream) awaitAnswer(ctx context.Context, c *call, req *peerv1.Request, sink func([]byte) error) (*peerv1.Answer, error) {
	credit := creditReturner{stream: s, id: req.GetRequestId()}
	for {
		for a := c.pop(); a != nil; a = c.pop() {
			if err := credit.deliver(a, sink); err != nil {
				s.abandon(c)
				return nil, err
			}
			if a.GetLast() {
				s.recordTransaction(req, a)
				return a, nil
			}
		}
		select {
		case <-c.ready:
		case <-ctx.Done():
			s.abandon(c)
			return nil, errors.Wrap(ctx.Err(), "waiting for the owner's answer")
		case <-s.ctx.Done():
			if a := s.takeBufferedEnd(c, sink); a != nil {
				return a, nil
			}
			return nil, &StreamError{Address: s.address, Sent: !c.withdraw(), Cause: s.cause()}
		}
	}
}

// takeBufferedEnd consumes the answers that arrived before the stream broke. It
// returns the end of the answer if it is among them, otherwise nil.
func (s *clientStream) takeBufferedEnd(c *call, sink func([]byte) error) *peerv1.Answer {
	for a := c.pop(); a != nil; a = c.pop() {
		if len(a.GetChunk()) > 0 && sink(a.GetChunk()) != nil {
			return nil
		}
		if a.GetLast() {
			return a
		}
	}
	return nil
}

// abandon forgets a call and asks the owner to cancel its request if it may
// have been sent.
func (s *clientStream) abandon(c *call) {
	s.mu.Lock()
	delete(s.pending, c.id)
	s.mu.Unlock()
	if c.withdraw() {
		return
	}
	s.send(nil, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Cancel{
		Cancel: &peerv1.Cancel{RequestId: c.id[:]},
	}})
}

// recordTransaction records whether the request left a transaction open.
func (s *clientStream) recordTransaction(req *peerv1.Request, end *peerv1.Answer) {
	id := req.GetTransactionId()
	if len(id) == 0 {
		id = req.GetRequestId()
	}
	s.trackTransaction(id, end.GetTransactionStatus())
}

// trackTransaction records the status of a transaction. A stream with an open
// transaction is not closed as idle.
func (s *clientStream) trackTransaction(id []byte, status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
	if status == "" || status == idleStatus {
		delete(s.openTransactions, string(id))
		return
	}
	s.openTransactions[string(id)] = struct{}{}
}

// closeWhenIdle ends the stream after idleStreamTimeout without use.
func (s *clientStream) closeWhenIdle() {
	ticker := time.NewTicker(idleStreamTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			if s.closeIfIdle(now) {
				s.cancel(ErrClosed)
				return
			}
		}
	}
}

// closeIfIdle refuses new calls and returns true if the stream is idle.
func (s *clientStream) closeIfIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unused := len(s.pending) == 0 && len(s.openTransactions) == 0 && now.Sub(s.lastUsed) >= idleStreamTimeout
	s.closed = s.closed || unused
	return unused
}
