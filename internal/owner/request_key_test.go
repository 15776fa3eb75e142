package owner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
)

// Guards against a write that is reported as done although its transaction was rolled back,
// because its request key could not be recorded.
func TestWriteWhoseKeyCannotBeRecordedIsNotRun(t *testing.T) {
	h := newHarness(t)
	h.write("CREATE TABLE beryltrestle_requests (request_key text PRIMARY KEY, fingerprint text NOT NULL, answer text NOT NULL, origin text NOT NULL)")
	req := h.request("/* request_key=k1 */ " + insertOnce)
	req.RequestKey = "k1"
	end := h.serve(req).end
	h.g.Expect(end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_NOT_RUN), end.String())
	h.g.Expect(end.GetSqlstate()).To(Equal("23502"))
	h.g.Expect(h.serve(h.request(readAll)).rows).To(BeEmpty())
	h.write("DROP TABLE beryltrestle_requests")
	req = h.request("/* request_key=k1 */ " + insertOnce)
	req.RequestKey = "k1"
	h.g.Expect(h.serve(req).end.GetOutcome()).To(Equal(peerv1.Outcome_OUTCOME_DONE))
	h.g.Expect(h.serve(h.request(readAll)).rows).To(Equal([]string{"once"}))
}
