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

// errStreamOver reports that a stream takes no further call.
var errStreamOver = errors.New("exchange stream is over")

// outgoing is a message with the call that it begins, if any.
type outgoing struct {
	msg  *peerv1.EntryMessage
	call *call
}

// stream is the entry's side of one exchange stream.
type stream struct {
	cfg     Config
	address string
	client  peerv1connect.PeerServiceClient
	out     *outbox[outgoing]
	ctx     context.Context
	cancel  context.CancelCauseFunc
	// established is closed once the owner's first frame arrived.
	established chan struct{}
	generation  uint64
	monitor     *monitor
	// probe is true while an empty frame is to be sent.
	probe atomic.Bool

	mu       sync.Mutex
	over     bool
	pending  map[requestID]*call
	open     map[string]struct{}
	lastUsed time.Time
}

// newStream returns a stream that is not yet running.
func newStream(cfg Config, address string, client peerv1connect.PeerServiceClient) *stream {
	ctx, cancel := context.WithCancelCause(context.Background())
	s := &stream{
		cfg:         cfg,
		address:     address,
		client:      client,
		out:         newOutbox(func(o outgoing) int { return proto.Size(o.msg) }),
		ctx:         ctx,
		cancel:      cancel,
		established: make(chan struct{}),
		pending:     make(map[requestID]*call),
		open:        make(map[string]struct{}),
		lastUsed:    time.Now(),
	}
	s.monitor = newMonitor(s.hasPending, s.sendProbe, func() { s.fail(ErrSilent) })
	return s
}

// hasPending reports whether requests wait for answers.
func (s *stream) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) > 0
}

// sendProbe makes the sender send an empty frame, which the owner answers with
// one.
func (s *stream) sendProbe() {
	s.probe.Store(true)
	s.out.signal()
}

// register adds a call; it returns errStreamOver if the stream has ended.
func (s *stream) register(c *call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return errStreamOver
	}
	if _, used := s.pending[c.id]; used {
		return ErrBadRequestID
	}
	s.pending[c.id] = c
	s.lastUsed = time.Now()
	s.monitor.watch()
	return nil
}

// send queues a message for the sender.
func (s *stream) send(c *call, msg *peerv1.EntryMessage) {
	s.out.put(outgoing{msg: msg, call: c})
}

// fail ends the stream; pending calls return.
func (s *stream) fail(cause error) {
	s.mu.Lock()
	s.over = true
	s.mu.Unlock()
	s.cancel(cause)
}

// cause returns why the stream ended.
func (s *stream) cause() error { return context.Cause(s.ctx) }

// run drives the stream until it ends. It reports whether the stream was
// established.
func (s *stream) run() bool {
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
	go s.sendAll(conn)
	go s.closeWhenIdle()
	for {
		if err := s.receive(conn); err != nil {
			s.fail(err)
			_ = conn.CloseResponse()
			return true
		}
	}
}

// sendAll sends what waits, without waiting for more.
func (s *stream) sendAll(conn *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse]) {
	defer func() { _ = conn.CloseRequest() }()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.out.wake:
		}
		items := s.out.take()
		if len(items) == 0 && !s.probe.Swap(false) {
			continue
		}
		if err := s.sendFrame(conn, items); err != nil {
			// The receiver reports why the stream broke, unless only sending failed.
			s.fail(err)
			return
		}
	}
}

// sendFrame sends one frame.
func (s *stream) sendFrame(conn *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse], items []outgoing) error {
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
func (s *stream) receive(conn *connect.BidiStreamForClient[peerv1.ExchangeRequest, peerv1.ExchangeResponse]) error {
	frame, err := conn.Receive()
	if errors.Is(err, io.EOF) {
		return ErrEnded
	}
	if err != nil {
		return err
	}
	s.monitor.hear()
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
// the owner does not answer again. The first empty frame is the owner's greeting.
func (s *stream) answerProbe() {
	select {
	case <-s.established:
		s.send(nil, &peerv1.EntryMessage{})
	default:
	}
}

// dispatch hands an answer to its call. Answers of calls that have been given
// up, or were never made, are discarded and counted.
func (s *stream) dispatch(a *peerv1.Answer) error {
	c := s.lookup(a)
	if c == nil {
		s.cfg.Metrics.Inc(metrics.AnswersDiscarded)
		return nil
	}
	if !c.push(a) {
		return ErrCreditExceeded
	}
	return nil
}

// lookup returns the call of an answer and removes it at the end.
func (s *stream) lookup(a *peerv1.Answer) *call {
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

// wait runs the sink for each chunk until the end of the answer.
func (s *stream) wait(ctx context.Context, c *call, req *peerv1.Request, sink func([]byte) error) (*peerv1.Answer, error) {
	credit := creditCounter{stream: s, id: req.GetRequestId()}
	for {
		for a := c.pop(); a != nil; a = c.pop() {
			if err := credit.consume(a, sink); err != nil {
				s.abandon(c)
				return nil, err
			}
			if a.GetLast() {
				s.finished(req, a)
				return a, nil
			}
		}
		select {
		case <-c.ready:
		case <-ctx.Done():
			s.abandon(c)
			return nil, errors.Wrap(ctx.Err(), "waiting for the owner's answer")
		case <-s.ctx.Done():
			if a := s.rest(c, sink); a != nil {
				return a, nil
			}
			return nil, &StreamError{Address: s.address, Sent: !c.withdraw(), Cause: s.cause()}
		}
	}
}

// rest consumes the answers that arrived before the stream broke and returns
// the end of the answer if it is among them.
func (s *stream) rest(c *call, sink func([]byte) error) *peerv1.Answer {
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

// abandon gives a call up and asks the owner to cancel the request.
func (s *stream) abandon(c *call) {
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

// finished records whether the request left a transaction open.
func (s *stream) finished(req *peerv1.Request, end *peerv1.Answer) {
	id := req.GetTransactionId()
	if len(id) == 0 {
		id = req.GetRequestId()
	}
	s.trackTransaction(id, end.GetTransactionStatus())
}

// trackTransaction records the status of a transaction; a stream with an open
// transaction is not closed when idle.
func (s *stream) trackTransaction(id []byte, status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUsed = time.Now()
	if status == "" || status == idleStatus {
		delete(s.open, string(id))
		return
	}
	s.open[string(id)] = struct{}{}
}

// closeWhenIdle ends the stream when it is no longer used.
func (s *stream) closeWhenIdle() {
	ticker := time.NewTicker(idleStreamTimeout / 4)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case now := <-ticker.C:
			if s.markIdle(now) {
				s.cancel(ErrClosed)
				return
			}
		}
	}
}

// markIdle ends an unused stream for new calls.
func (s *stream) markIdle(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unused := len(s.pending) == 0 && len(s.open) == 0 && now.Sub(s.lastUsed) >= idleStreamTimeout
	s.over = s.over || unused
	return unused
}
