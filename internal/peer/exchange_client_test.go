package peer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1/peerv1connect"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
	"github.com/beryltrestle/beryltrestle/internal/peer/peertest"
)

// Guards guarantee 4: answers that arrive late and out of order over one shared
// stream reach their own requests completely.
func TestAnswersReachTheirRequests(t *testing.T) {
	g := NewWithT(t)
	var wrong sync.Map
	_, address := startService(t, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{
		serve: func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
			time.Sleep(rand.N(5 * time.Millisecond))
			_, _ = w.Write([]byte(strings.Repeat(string(req.GetBatch())+",", 1+rand.IntN(20_000))))
			time.Sleep(rand.N(5 * time.Millisecond))
			_, _ = w.Write(req.GetBatch())
			w.Finish(doneAnswer("I"))
		},
	}})
	proxy := peertest.NewProxy(t, address)
	streams, _ := startClient(t, peer.Config{})
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			var got []byte
			name := fmt.Sprintf("request-%d", i)
			end, err := streams.Do(testContext(t), proxy.Address, newRequest(name), collect(&got))
			if err != nil || end.GetTransactionStatus() != "I" {
				wrong.Store(name, err)
				return
			}
			parts := strings.Split(string(got), ",")
			for _, p := range parts {
				if p != name {
					wrong.Store(name, p)
				}
			}
		})
	}
	wg.Wait()
	wrong.Range(func(k, v any) bool {
		g.Expect(v).To(BeNil(), "%v", k)
		return true
	})
}

// strayService answers each request with two answers of unknown IDs, its own
// answer and a repetition of that.
type strayService struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (strayService) Exchange(_ context.Context, conn *connect.BidiStream[peerv1.ExchangeRequest, peerv1.ExchangeResponse]) error {
	if err := conn.Send(&peerv1.ExchangeResponse{}); err != nil {
		return err
	}
	for {
		frame, err := conn.Receive()
		if err != nil {
			return nil
		}
		for _, m := range frame.GetMessages() {
			stray := &peerv1.Answer{RequestId: make([]byte, 16), Chunk: []byte("stray"), Last: true}
			short := &peerv1.Answer{RequestId: []byte("short"), Chunk: []byte("stray"), Last: true}
			own := &peerv1.Answer{RequestId: m.GetRequest().GetRequestId(), Chunk: []byte("own"), Last: true}
			if err := conn.Send(&peerv1.ExchangeResponse{Answers: []*peerv1.Answer{stray, short, own, own}}); err != nil {
				return err
			}
		}
	}
}

// Guards guarantee 4: an answer with the ID of an unknown or finished request
// is discarded and counted; it neither reaches another request nor breaks the
// stream.
func TestUnknownAnswersAreDiscarded(t *testing.T) {
	g := NewWithT(t)
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(strayService{}))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	streams, registry := startClient(t, peer.Config{})
	t.Cleanup(streams.Close)

	for range 2 {
		var got []byte
		_, err := streams.Do(testContext(t), srv.Listener.Addr().String(), newRequest("x"), collect(&got))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal("own"))
	}
	g.Eventually(func() int64 { return registry.Count(metrics.AnswersDiscarded) }).Should(Equal(int64(6)))
}

// Guards against a slow caller with a large result that blocks other requests
// on the shared stream, and against an owner that sends more than its credit.
func TestSlowSinkDoesNotBlockOtherRequests(t *testing.T) {
	g := NewWithT(t)
	const large = 8 << 20
	var written atomic.Int64
	_, address := startService(t, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{
		serve: func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
			if string(req.GetBatch()) != "large" {
				echo(ctx, req, w)
				return
			}
			for range large / peer.ChunkSize {
				if _, err := w.Write(make([]byte, peer.ChunkSize)); err != nil {
					break
				}
				written.Add(peer.ChunkSize)
			}
			w.Finish(doneAnswer("I"))
		},
	}})
	streams, _ := startClient(t, peer.Config{})
	release := make(chan struct{})
	total := make(chan int, 1)
	go func() {
		n := 0
		_, _ = streams.Do(testContext(t), address, newRequest("large"), func(chunk []byte) error {
			<-release
			n += len(chunk)
			return nil
		})
		total <- n
	}()
	g.Eventually(written.Load).Should(BeNumerically("==", peer.CreditWindow))
	start := time.Now()
	for range 100 {
		_, err := streams.Do(testContext(t), address, newRequest("small"), func([]byte) error { return nil })
		g.Expect(err).NotTo(HaveOccurred())
	}
	t.Logf("100 short requests during a blocked sink: %v", time.Since(start))
	g.Expect(written.Load()).To(BeNumerically("==", peer.CreditWindow))
	close(release)
	g.Eventually(total, testTimeout).Should(Receive(Equal(large)))
}

// Guards against requests that continue on the owner after their caller has
// disconnected.
func TestEndOfContextCancelsRequestAtOwner(t *testing.T) {
	g := NewWithT(t)
	started, canceled := make(chan struct{}, 1), make(chan struct{}, 1)
	_, address := startService(t, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{
		serve: func(ctx context.Context, _ *peerv1.Request, w peer.AnswerWriter) {
			started <- struct{}{}
			<-ctx.Done()
			canceled <- struct{}{}
			w.Finish(doneAnswer("I"))
		},
	}})
	streams, registry := startClient(t, peer.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := streams.Do(ctx, address, newRequest("x"), nil)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
	g.Eventually(canceled).Should(Receive())
	g.Eventually(func() int64 { return registry.Count(metrics.AnswersDiscarded) }).Should(Equal(int64(1)))
}

// Guards against callers that wait for an owner that has crashed or become
// unreachable: the broken stream is reported within about 1 s, the error says
// that the request was sent, and the next request dials again.
func TestBrokenStream(t *testing.T) {
	for name, breakProxy := range map[string]func(*peertest.Proxy){"closed": (*peertest.Proxy).CloseConnections, "blackholed": (*peertest.Proxy).Blackhole} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			started, ended := make(chan struct{}, 1), make(chan struct{}, 1)
			server := &fakeRequestHandler{serve: func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
				if string(req.GetBatch()) != "hang" {
					w.Finish(doneAnswer("T"))
					return
				}
				started <- struct{}{}
				<-ctx.Done()
				ended <- struct{}{}
				w.Finish(doneAnswer("I"))
			}}
			_, address := startService(t, peer.ServiceConfig{RequestHandler: server})
			proxy := peertest.NewProxy(t, address)
			streams, _ := startClient(t, peer.Config{})
			begin := newRequest("begin")
			_, err := streams.Do(testContext(t), proxy.Address, begin, nil)
			g.Expect(err).NotTo(HaveOccurred())

			broken := make(chan error, 1)
			go func() {
				_, err := streams.Do(testContext(t), proxy.Address, newRequest("hang"), nil)
				broken <- err
			}()
			<-started
			start := time.Now()
			breakProxy(proxy)
			var got error
			g.Eventually(broken, 3*time.Second).Should(Receive(&got))
			t.Logf("break found after %v", time.Since(start))
			g.Expect(time.Since(start)).To(BeNumerically("<", 1500*time.Millisecond))
			var streamErr *peer.StreamError
			g.Expect(errors.As(got, &streamErr)).To(BeTrue())
			g.Expect(streamErr.Sent).To(BeTrue())
			g.Eventually(ended, 3*time.Second).Should(Receive())
			g.Eventually(server.closedTransactions, 3*time.Second).Should(ContainElement(string(begin.GetRequestId())))
			if name == "closed" {
				g.Eventually(func() error {
					_, err := streams.Do(testContext(t), proxy.Address, newRequest("again"), nil)
					return err
				}).Should(Succeed())
			}
		})
	}
}

// Guards against probes that break a stream to a healthy peer during a long
// request or between two requests of an open transaction.
func TestLongRequestDoesNotBreakStream(t *testing.T) {
	g := NewWithT(t)
	server := &fakeRequestHandler{serve: func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
		time.Sleep(1500 * time.Millisecond)
		w.Finish(doneAnswer(string(req.GetBatch())))
	}}
	_, address := startService(t, peer.ServiceConfig{RequestHandler: server})
	streams, _ := startClient(t, peer.Config{})
	begin := newRequest("T")
	_, err := streams.Do(testContext(t), address, begin, nil)
	g.Expect(err).NotTo(HaveOccurred())
	time.Sleep(1500 * time.Millisecond)
	g.Expect(server.closedTransactions()).To(BeEmpty())
	commit := newRequest("I")
	commit.TransactionId = begin.GetRequestId()
	_, err = streams.Do(testContext(t), address, commit, nil)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a request that is wrongly reported as sent: if the owner
// refuses connections, or accepts them and answers nothing, the request fails
// within about 1 s as not sent.
func TestUnreachableOwner(t *testing.T) {
	g := NewWithT(t)
	// Outgoing connections of other tests come from 127.0.0.1. There they could take the port
	// between its release and its second use.
	refusing := listen(t, "127.0.0.2:0")
	refusing.Close()
	unresponsive := listen(t, "127.0.0.1:0")
	t.Cleanup(func() { unresponsive.Close() })
	go func() {
		for {
			conn, err := unresponsive.Accept()
			if err != nil {
				return
			}
			go func(c net.Conn) { _, _ = io.Copy(io.Discard, c) }(conn)
		}
	}()
	streams, _ := startClient(t, peer.Config{})
	for _, address := range []string{refusing.Addr().String(), unresponsive.Addr().String()} {
		start := time.Now()
		_, err := streams.Do(testContext(t), address, newRequest("x"), nil)
		var streamErr *peer.StreamError
		g.Expect(errors.As(err, &streamErr)).To(BeTrue(), "%v", err)
		g.Expect(streamErr.Sent).To(BeFalse())
		g.Expect(time.Since(start)).To(BeNumerically("<", 1500*time.Millisecond))
	}
	_, err := streams.Do(testContext(t), refusing.Addr().String(), newRequest("x"), nil)
	g.Expect(err).To(HaveOccurred())

	ln := listen(t, refusing.Addr().String())
	service := peer.NewService(peer.ServiceConfig{RequestHandler: &fakeRequestHandler{serve: echo}, ControlHandler: &fakeControlHandler{}})
	go func() { _ = service.Serve(ln) }()
	t.Cleanup(service.Close)
	g.Eventually(func() error {
		_, err := streams.Do(testContext(t), refusing.Addr().String(), newRequest("x"), func([]byte) error { return nil })
		return err
	}, 3*time.Second).Should(Succeed())
}
