package peer_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
	"github.com/beryltrestle/beryltrestle/internal/recovery"
)

// Guards against one request that ends the process, and against a request that may have run
// but gets no answer or another outcome than unknown.
func TestPanicInRequestIsAnsweredAsUnknown(t *testing.T) {
	g := NewWithT(t)
	registry := metrics.NewRegistry()
	_, address := startService(t, peer.ServiceConfig{
		Guard: recovery.NewGuard(registry, zerolog.Nop()),
		RequestHandler: &fakeRequestHandler{serve: func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
			if string(req.GetBatch()) == "odd" {
				panic("injected")
			}
			w.Finish(doneAnswer("I"))
		}},
	})
	streams, _ := startClient(t, peer.Config{})
	end, err := streams.Do(testContext(t), address, newRequest("odd"), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_UNKNOWN))
	end, err = streams.Do(testContext(t), address, newRequest("next"), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE))
	g.Expect(registry.Count(metrics.Panics)).To(Equal(int64(1)))
}
