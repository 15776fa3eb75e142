package peer_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// Guards guarantee 8: a drain waits for the running requests and open
// transactions of other daemons, and refuses new requests as not run.
func TestDrainWaitsForRequestsAndTransactions(t *testing.T) {
	g := NewWithT(t)
	started, release := make(chan struct{}), make(chan struct{})
	service, address := startService(t, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{
		serve: func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
			switch string(req.GetBatch()) {
			case "begin":
				w.Finish(doneAnswer("T"))
			case "slow":
				close(started)
				<-release
				w.Finish(doneAnswer("I"))
			default:
				w.Finish(doneAnswer("I"))
			}
		},
	}})
	streams, _ := startClient(t, peer.Config{})
	ctx := testContext(t)
	begin := newRequest("begin")
	_, err := streams.Do(ctx, address, begin, nil)
	g.Expect(err).NotTo(HaveOccurred())
	slow := make(chan error, 1)
	go func() {
		_, err := streams.Do(ctx, address, newRequest("slow"), nil)
		slow <- err
	}()
	<-started
	drained := make(chan error, 1)
	go func() { drained <- service.Drain(ctx) }()

	g.Eventually(func() string {
		end, err := streams.Do(ctx, address, newRequest("new"), nil)
		g.Expect(err).NotTo(HaveOccurred())
		return end.GetReason()
	}).Should(Equal(string(metrics.RefusedDraining)))
	close(release)
	g.Eventually(slow).Should(Receive(BeNil()))
	g.Consistently(drained, 100*time.Millisecond).ShouldNot(Receive())
	commit := newRequest("commit")
	commit.TransactionId = begin.GetRequestId()
	_, err = streams.Do(ctx, address, commit, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(drained).Should(Receive(BeNil()))
}

// Guards against a partial answer that is reported as complete after a cancel.
func TestCanceledAnswerIsNotReportedAsDone(t *testing.T) {
	g := NewWithT(t)
	_, address := startService(t, peer.ServiceConfig{RequestHandler: &fakeRequestHandler{
		serve: func(_ context.Context, _ *peerv1.Request, w peer.AnswerWriter) {
			_, _ = w.Write(make([]byte, 2*peer.CreditWindow))
			w.Finish(doneAnswer("I"))
		},
	}})
	streams, _ := startClient(t, peer.Config{})
	req := newRequest("x")
	first := true
	end, err := streams.Do(testContext(t), address, req, func([]byte) error {
		if first {
			streams.Cancel(address, req.GetRequestId())
			time.Sleep(100 * time.Millisecond)
			first = false
		}
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_UNKNOWN))
	g.Expect(end.GetReason()).To(Equal(string(metrics.UnknownCanceled)))
}

// Guards against manifest generations that do not spread with requests, and
// against unary calls that do not reach the control handler.
func TestUnaryCallsAndGenerations(t *testing.T) {
	g := NewWithT(t)
	control := &fakeControlHandler{}
	_, address := startService(t, peer.ServiceConfig{
		RequestHandler: &fakeRequestHandler{serve: echo}, ControlHandler: control, Generation: func() uint64 { return 9 },
	})
	seen := make(chan uint64, 1)
	streams, _ := startClient(t, peer.Config{
		Address:           "127.0.0.1:1",
		Generation:        func() uint64 { return 4 },
		ObserveGeneration: func(_ string, generation uint64) { seen <- generation },
	})
	_, err := streams.Do(testContext(t), address, newRequest("x"), func([]byte) error { return nil })
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(<-seen).To(Equal(uint64(9)))
	control.mu.Lock()
	g.Expect(control.observed).To(Equal(map[string]uint64{"127.0.0.1:1": 4}))
	control.mu.Unlock()

	loc, err := streams.Locate(testContext(t), address, "members")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(loc.GetAddress()).To(Equal("owner of members"))
	resp, err := streams.QueryOutcome(testContext(t), address, &peerv1.QueryOutcomeRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
}
