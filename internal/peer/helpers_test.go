package peer_test

import (
	"context"
	"crypto/rand"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/beryltrestle/beryltrestle/internal/metrics"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

const testTimeout = 20 * time.Second

// fakeRequestHandler runs a function for each request and records closed
// transactions.
type fakeRequestHandler struct {
	serve func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter)

	mu     sync.Mutex
	closed []string
}

func (s *fakeRequestHandler) Serve(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
	s.serve(ctx, req, w)
}

func (s *fakeRequestHandler) CloseTransaction(id []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = append(s.closed, string(id))
}

func (s *fakeRequestHandler) closedTransactions() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.closed...)
}

func (s *fakeRequestHandler) QueryOutcome(*peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse {
	return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_NOT_RUN}
}

// fakeControlHandler answers Locate with a fixed owner and records generations.
type fakeControlHandler struct {
	peer.ControlHandler
	mu       sync.Mutex
	observed map[string]uint64
}

func (c *fakeControlHandler) Locate(_ context.Context, req *peerv1.LocateRequest) (*peerv1.LocateResponse, error) {
	return &peerv1.LocateResponse{Owner: &peerv1.Location{Address: "owner of " + req.GetPool()}}, nil
}

func (c *fakeControlHandler) ObserveGeneration(address string, generation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.observed == nil {
		c.observed = make(map[string]uint64)
	}
	c.observed[address] = generation
}

// echo answers with the request's batch.
func echo(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
	_, _ = w.Write(req.GetBatch())
	w.Finish(doneAnswer("I"))
}

func doneAnswer(status string) *peerv1.Answer {
	return &peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: status}
}

func listen(t testing.TB, address string) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startService serves on loopback. It returns the service and its address.
func startService(t testing.TB, cfg peer.ServiceConfig) (*peer.Service, string) {
	t.Helper()
	if cfg.ControlHandler == nil {
		cfg.ControlHandler = &fakeControlHandler{}
	}
	ln := listen(t, "127.0.0.1:0")
	service := peer.NewService(cfg)
	go func() { _ = service.Serve(ln) }()
	t.Cleanup(service.Close)
	return service, ln.Addr().String()
}

func startClient(t testing.TB, cfg peer.Config) (*peer.ExchangeClient, *metrics.Registry) {
	t.Helper()
	cfg.Metrics = metrics.NewRegistry()
	client := peer.NewExchangeClient(cfg)
	t.Cleanup(client.Close)
	return client, cfg.Metrics
}

func newRequest(batch string) *peerv1.Request {
	id := make([]byte, 16)
	_, _ = rand.Read(id)
	return &peerv1.Request{RequestId: id, Batch: []byte(batch), Pool: "members"}
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// collect returns a sink that appends to a buffer.
func collect(b *[]byte) func([]byte) error {
	return func(chunk []byte) error {
		*b = append(*b, chunk...)
		return nil
	}
}
