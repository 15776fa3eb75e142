package owner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

// Guards against a write that is confirmed, or shown to a reader, while only the
// primary has it.
func TestNothingIsConfirmedWithoutAMajority(t *testing.T) {
	h := newHarness(t)
	primary := h.group.Servers[0]
	primary.SetFaults(func(f *database.Faults) { f.CutReplication = true })
	h.renewLease()
	write, read := make(chan answer, 1), make(chan answer, 1)
	go func() { write <- h.serve(h.request("INSERT INTO bookings (id) VALUES ('first')")) }()
	h.g.Eventually(func() bool {
		return h.group.Servers[0].Status().Received.Compare(h.view.Endpoints[primary.Address()].Received) > 0
	}).
		WithTimeout(waitTimeout).Should(BeTrue())
	go func() { read <- h.serve(h.request(readAll)) }()
	h.g.Consistently(func() int { return len(write) + len(read) }).WithTimeout(700 * time.Millisecond).Should(BeZero())
	primary.SetFaults(func(f *database.Faults) { f.CutReplication = false })
	h.g.Expect((<-write).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect((<-read).rows).To(Equal([]string{"first"}))
}

// readOnReplica starts reads until one runs on a replica. The replicas are slow, so
// a read that isn't answered at once runs on one of them.
func (h *harness) readOnReplica() chan answer {
	h.t.Helper()
	for range 50 {
		h.renewLease()
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

// Guards against a read that misses a write of its own session: the write is
// confirmed while the read runs on a replica that does not have it yet.
func TestReadBehindARaisedFloorIsRepeated(t *testing.T) {
	h := newHarness(t)
	h.renewLease()
	for _, s := range h.group.Servers[1:] {
		s.SetFaults(func(f *database.Faults) {
			f.ServiceTime = 300 * time.Millisecond
			f.ApplyLag = 3 * time.Second
		})
	}
	got := h.readOnReplica()
	h.write("INSERT INTO bookings (id) VALUES ('mine')")
	h.g.Eventually(func() int {
		h.renewLease()
		return len(got)
	}).WithTimeout(waitTimeout).Should(Equal(1))
	a := <-got
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE), a.end.String())
	h.g.Expect(a.rows).To(Equal([]string{"mine"}))
	h.g.Expect(h.metrics.Count(metrics.RetryReadRepeated)).To(BeNumerically(">", 0), "the read did not start on a replica")
}
