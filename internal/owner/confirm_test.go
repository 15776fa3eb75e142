package owner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against a booking that is confirmed while only the primary has it, and
// against a reader who sees it before a majority has it.
func TestNothingIsConfirmedWithoutAMajority(t *testing.T) {
	h := newHarness(t)
	primary := h.group.Servers[0]
	primary.SetFaults(func(f *database.Faults) { f.CutReplication = true })
	h.renew()
	write, read := make(chan answer, 1), make(chan answer, 1)
	go func() { write <- h.serve(h.request("INSERT INTO bookings (id) VALUES ('first')")) }()
	h.g.Eventually(func() bool {
		return h.group.Servers[0].Status().Received.Compare(h.view.Endpoints[primary.Address()].Received) > 0
	}).
		WithTimeout(patience).Should(BeTrue())
	go func() { read <- h.serve(h.request(readAll)) }()
	h.g.Consistently(func() int { return len(write) + len(read) }).WithTimeout(700 * time.Millisecond).Should(BeZero())
	primary.SetFaults(func(f *database.Faults) { f.CutReplication = false })
	h.g.Expect((<-write).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect((<-read).rows).To(Equal([]string{"first"}))
}

// readOnReplica starts reads until one runs on a replica, which is slow; reads on
// the primary are answered at once.
func (h *harness) readOnReplica() chan answer {
	h.t.Helper()
	for range 50 {
		h.renew()
		got := make(chan answer, 1)
		go func() { got <- h.serve(h.request("/* kind=lookup */ " + readAll)) }()
		time.Sleep(100 * time.Millisecond)
		if len(got) == 0 {
			return got
		}
	}
	h.t.Fatal("no read ran on a replica")
	return nil
}

// Guards against a read on a replica that is behind what its session was told
// while the read was running.
func TestReadBehindARaisedFloorIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.renew()
	for _, s := range h.group.Servers[1:] {
		s.SetFaults(func(f *database.Faults) {
			f.ServiceTime = 300 * time.Millisecond
			f.ApplyLag = 3 * time.Second
		})
	}
	got := h.readOnReplica()
	h.write("INSERT INTO bookings (id) VALUES ('mine')")
	h.g.Eventually(func() int {
		h.renew()
		return len(got)
	}).WithTimeout(patience).Should(Equal(1))
	a := <-got
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE), a.end.String())
	h.g.Expect(a.rows).To(Equal([]string{"mine"}))
	h.g.Expect(h.metrics.Count(metrics.RetryReadRepeated)).To(BeNumerically(">", 0), "the read did not start on a replica")
}
