package owner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

const insertOnce = "INSERT INTO bookings (id) VALUES ('once')"

// Guards against a request that arrives late, after its entry was told that it
// was not run and has reported or repeated it.
func TestRequestReportedAsNotRunNeverRuns(t *testing.T) {
	h := newHarness(t)
	req := h.request(insertOnce)
	query := &peerv1.QueryOutcomeRequest{RequestId: req.GetRequestId(), OwnerIncarnation: incarnation}
	h.g.Expect(h.owner.QueryOutcome(query).GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
	h.g.Expect(h.serve(h.request(readAll)).rows).To(BeEmpty(), "the request ran after it was reported as not run")
}

// Guards against a request that runs twice since it was delivered twice.
func TestRequestIDRunsOnce(t *testing.T) {
	h := newHarness(t)
	h.write("CREATE TABLE counter (n integer)")
	req := h.request("INSERT INTO counter (n) VALUES (1)")
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect(h.serve(req).end.GetOutcome()).NotTo(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect(h.serve(h.request("SELECT n FROM counter")).rows).To(Equal([]string{"1"}))
}

// Guards against an owner that answers for another run of its daemon, of which it
// knows nothing.
func TestAnotherIncarnationIsNotServed(t *testing.T) {
	h := newHarness(t)
	req := h.request(insertOnce)
	req.OwnerIncarnation = incarnation + 1
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN))
	query := &peerv1.QueryOutcomeRequest{RequestId: req.GetRequestId(), OwnerIncarnation: incarnation + 1}
	h.g.Expect(h.owner.QueryOutcome(query).GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_UNKNOWN))
	h.g.Expect(h.serve(h.request(readAll)).rows).To(BeEmpty())
}
