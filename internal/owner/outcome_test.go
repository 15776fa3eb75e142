package owner_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/standin/database"
)

const insertOnce = "INSERT INTO bookings (id) VALUES ('once')"

// Guards against a late request that runs after QueryOutcome has answered that it was
// not run. The entry may have repeated it by then.
func TestRequestReportedAsNotRunNeverRuns(t *testing.T) {
	h := newHarness(t)
	req := h.request(insertOnce)
	query := &peerv1.QueryOutcomeRequest{RequestId: req.GetRequestId(), OwnerIncarnation: incarnation}
	h.g.Expect(h.owner.QueryOutcome(query).GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
	h.g.Expect(h.serve(h.request(readAll)).rows).To(BeEmpty(), "the request ran after it was reported as not run")
}

// Guards against a request that runs twice because it was delivered twice.
func TestRequestIDRunsOnce(t *testing.T) {
	h := newHarness(t)
	h.write("CREATE TABLE counter (n integer)")
	req := h.request("INSERT INTO counter (n) VALUES (1)")
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect(h.serve(req).end.GetOutcome()).NotTo(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect(h.serve(h.request("SELECT n FROM counter")).rows).To(Equal([]string{"1"}))
}

// Guards against an owner that answers a request or a query for an earlier run of its
// daemon: it does not know what that run did.
func TestAnotherIncarnationIsNotServed(t *testing.T) {
	h := newHarness(t)
	req := h.request(insertOnce)
	req.OwnerIncarnation = incarnation + 1
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
	query := &peerv1.QueryOutcomeRequest{RequestId: req.GetRequestId(), OwnerIncarnation: incarnation + 1}
	h.g.Expect(h.owner.QueryOutcome(query).GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_UNKNOWN))
	h.g.Expect(h.serve(h.request(readAll)).rows).To(BeEmpty())
}

// Guards against a write that is reported as not run after a failover although
// the new primary has it. Only its answer was lost.
func TestReplicatedWriteIsNotReportedAsNotRun(t *testing.T) {
	h := newHarness(t)
	h.renewLease()
	old, next := h.group.Servers[0], h.group.Servers[1]
	before := next.Status().Received
	old.SetFaults(func(f *database.Faults) { f.ServiceTime = 300 * time.Millisecond })
	got := make(chan answer, 1)
	go func() { got <- h.serve(h.request(insertOnce)) }()
	time.Sleep(100 * time.Millisecond)
	// The statement is already running, so it commits; its answer is held back.
	old.SetFaults(func(f *database.Faults) { f.CutClients = true })
	h.g.Eventually(func() bool { return before.Less(next.Status().Received) }).WithTimeout(waitTimeout).Should(BeTrue())

	promotion := next.Status().Received
	h.view.Marker = h.claimTerm("self", ownTerm+1, 1, 2)
	h.view.Term, h.view.Primary, h.view.PromotionPoint = ownTerm+1, next.Address(), promotion
	h.view.LeaseStart = time.Now()
	h.publish()
	a := <-got
	h.g.Expect(a.end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_UNKNOWN), a.end.String())
	h.g.Expect(h.serve(h.request(readAll)).rows).To(Equal([]string{"once"}))
}
