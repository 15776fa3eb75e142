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

// ExchangeClient implements Exchanger with one shared stream to each owner.
type ExchangeClient struct {
	*UnaryClient
	cfg       Config
	transport *http.Transport

	mu       sync.Mutex
	closed   bool
	streams  map[string]*clientStream
	backoffs map[string]*dialBackoff
}

var _ Exchanger = (*ExchangeClient)(nil)

// NewExchangeClient returns an ExchangeClient. A stream is opened when it is
// first used and closed after a minute without requests and open transactions.
func NewExchangeClient(cfg Config) *ExchangeClient {
	cfg = cfg.withDefaults()
	return &ExchangeClient{
		UnaryClient: NewUnaryClient(cfg),
		cfg:         cfg,
		transport:   newTransport(cfg, 0, 0),
		streams:     make(map[string]*clientStream),
		backoffs:    make(map[string]*dialBackoff),
	}
}

// Do implements Exchanger.
func (c *ExchangeClient) Do(ctx context.Context, address string, req *peerv1.Request, sink func([]byte) error) (*peerv1.Answer, error) {
	id, ok := toRequestID(req.GetRequestId())
	if !ok {
		return nil, ErrBadRequestID
	}
	pending := newCall(id)
	st, err := c.register(address, pending)
	if err != nil {
		return nil, &StreamError{Address: address, Cause: err}
	}
	st.send(pending, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Request{Request: req}})
	return st.awaitAnswer(ctx, pending, req, sink)
}

// Cancel implements Exchanger.
func (c *ExchangeClient) Cancel(address string, id []byte) {
	c.notify(address, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_Cancel{
		Cancel: &peerv1.Cancel{RequestId: id},
	}})
}

// CloseTransaction implements Exchanger. If there is no stream, the owner
// rolled back the transaction when the stream broke.
func (c *ExchangeClient) CloseTransaction(address string, id []byte) {
	if st := c.openStreamTo(address); st != nil {
		st.trackTransaction(id, idleStatus)
	}
	c.notify(address, &peerv1.EntryMessage{Body: &peerv1.EntryMessage_CloseTransaction{
		CloseTransaction: &peerv1.CloseTransaction{TransactionId: id},
	}})
}

// Close ends all streams; pending calls of Do return an error.
func (c *ExchangeClient) Close() {
	c.mu.Lock()
	c.closed = true
	streams := c.streams
	c.streams = make(map[string]*clientStream)
	c.mu.Unlock()
	for _, st := range streams {
		st.fail(ErrClosed)
	}
	c.transport.CloseIdleConnections()
	c.UnaryClient.Close()
}

// notify sends a message that has no answer, if a stream is open.
func (c *ExchangeClient) notify(address string, msg *peerv1.EntryMessage) {
	if st := c.openStreamTo(address); st != nil {
		st.send(nil, msg)
	}
}

// openStreamTo returns the open stream to an address, nil if there is none.
func (c *ExchangeClient) openStreamTo(address string) *clientStream {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streams[address]
}

// register adds the call to the stream to address, and opens the stream if
// there is none.
func (c *ExchangeClient) register(address string, pending *call) (*clientStream, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	if st, ok := c.streams[address]; ok {
		if err := st.register(pending); !errors.Is(err, errStreamClosed) {
			return st, err
		}
	}
	if backoff := c.backoffs[address]; backoff != nil && backoff.active(time.Now()) {
		return nil, errors.CombineErrors(ErrDialBackoff, backoff.lastErr)
	}
	st := c.openStream(address)
	return st, st.register(pending)
}

// openStream starts a stream. The caller holds the lock.
func (c *ExchangeClient) openStream(address string) *clientStream {
	client := peerv1connect.NewPeerServiceClient(&http.Client{Transport: c.transport}, c.cfg.baseURL(address), clientOptions()...)
	st := newClientStream(c.cfg, address, client)
	c.streams[address] = st
	go func() {
		established := st.run()
		c.removeStream(st, established)
	}()
	return st
}

// removeStream removes an ended stream and updates the dial backoff of its
// address.
func (c *ExchangeClient) removeStream(st *clientStream, established bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streams[st.address] == st {
		delete(c.streams, st.address)
	}
	if established {
		delete(c.backoffs, st.address)
		return
	}
	backoff := c.backoffs[st.address]
	if backoff == nil {
		if len(c.backoffs) >= maxAddresses {
			clear(c.backoffs)
		}
		backoff = &dialBackoff{}
		c.backoffs[st.address] = backoff
	}
	backoff.recordFailure(time.Now(), st.cause())
}

// toRequestID converts the request ID of a message; false if its length is
// wrong.
func toRequestID(b []byte) (requestID, bool) {
	if len(b) != requestIDSize {
		return requestID{}, false
	}
	return requestID(b), true
}
