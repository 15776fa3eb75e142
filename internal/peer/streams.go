package peer

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1/peerv1connect"
)

// ExchangeClient implements Exchanger with one shared stream to each owner in use.
type ExchangeClient struct {
	*UnaryClient
	cfg       Config
	transport *http.Transport

	mu      sync.Mutex
	closed  bool
	streams map[string]*stream
	delays  map[string]*dialDelay
}

var _ Exchanger = (*ExchangeClient)(nil)

// NewExchangeClient returns an Exchanger. Streams are opened when they are first used
// and closed after a minute without requests and transactions.
func NewExchangeClient(cfg Config) *ExchangeClient {
	cfg = cfg.withDefaults()
	return &ExchangeClient{
		UnaryClient: NewUnaryClient(cfg),
		cfg:         cfg,
		transport:   newTransport(cfg, 0, 0),
		streams:     make(map[string]*stream),
		delays:      make(map[string]*dialDelay),
	}
}

// Do implements Exchanger.
func (s *ExchangeClient) Do(ctx context.Context, address string, req *peerv1.Request, sink func([]byte) error) (*peerv1.Answer, error) {
	id, ok := toRequestID(req.GetRequestId())
	if !ok {
		return nil, ErrBadRequestID
	}
	c := newCall(id)
	st, err := s.register(address, c)
	if err != nil {
		return nil, &StreamError{Address: address, Cause: err}
	}
	st.send(c, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Request{Request: req}})
	return st.wait(ctx, c, req, sink)
}

// Cancel implements Exchanger.
func (s *ExchangeClient) Cancel(address string, id []byte) {
	s.notify(address, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Cancel{
		Cancel: &peerv1.Cancel{RequestId: id},
	}})
}

// CloseTransaction implements Exchanger. Without a stream there is nothing to
// close: the owner rolled the transaction back when the stream broke.
func (s *ExchangeClient) CloseTransaction(address string, id []byte) {
	if st := s.current(address); st != nil {
		st.trackTransaction(id, idleStatus)
	}
	s.notify(address, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_CloseTransaction{
		CloseTransaction: &peerv1.CloseTransaction{TransactionId: id},
	}})
}

// Close ends all streams; pending calls of Do return an error.
func (s *ExchangeClient) Close() {
	s.mu.Lock()
	s.closed = true
	streams := s.streams
	s.streams = make(map[string]*stream)
	s.mu.Unlock()
	for _, st := range streams {
		st.fail(ErrClosed)
	}
	s.transport.CloseIdleConnections()
	s.UnaryClient.Close()
}

// notify sends a message for which no answer is expected.
func (s *ExchangeClient) notify(address string, msg *peerv1.EntryMessage) {
	if st := s.current(address); st != nil {
		st.send(nil, msg)
	}
}

// current returns the open stream to an address, nil if there is none.
func (s *ExchangeClient) current(address string) *stream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams[address]
}

// register adds the call to the stream to address, which it opens if needed.
func (s *ExchangeClient) register(address string, c *call) (*stream, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, ErrClosed
	}
	if st, ok := s.streams[address]; ok {
		if err := st.register(c); !errors.Is(err, errStreamOver) {
			return st, err
		}
	}
	if d := s.delays[address]; d != nil && d.waiting(time.Now()) {
		return nil, errors.CombineErrors(ErrBackOff, d.cause)
	}
	st := s.open(address)
	return st, st.register(c)
}

// open starts a stream. The caller holds the lock.
func (s *ExchangeClient) open(address string) *stream {
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: s.transport}, s.cfg.url(address), clientOptions()...)
	st := newStream(s.cfg, address, client)
	s.streams[address] = st
	go func() {
		established := st.run()
		s.ended(st, established)
	}()
	return st
}

// ended forgets a stream and records whether its dial failed.
func (s *ExchangeClient) ended(st *stream, established bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams[st.address] == st {
		delete(s.streams, st.address)
	}
	if established {
		delete(s.delays, st.address)
		return
	}
	d := s.delays[st.address]
	if d == nil {
		if len(s.delays) >= maxAddresses {
			clear(s.delays)
		}
		d = &dialDelay{}
		s.delays[st.address] = d
	}
	d.failed(time.Now(), st.cause())
}

// toRequestID converts the ID of a message.
func toRequestID(b []byte) (requestID, bool) {
	if len(b) != requestIDSize {
		return requestID{}, false
	}
	return requestID(b), true
}
