package entry_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/control"
	"github.com/beryltrestle/beryltrestle/internal/entry"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
	"github.com/beryltrestle/beryltrestle/internal/peer/peertest"
)

const (
	writeText = "insert into slots values (1)"
	readText  = "select 1"
)

// pgError returns err as an error of the PostgreSQL protocol.
func pgError(g *WithT, err error) *pgconn.PgError {
	var pg *pgconn.PgError
	g.ExpectWithOffset(1, errors.As(err, &pg)).To(BeTrue(), "%v", err)
	return pg
}

// newHarnessWithProxy returns a harness whose streams pass through a proxy, which can close
// them.
func newHarnessWithProxy(t *testing.T) (*harness, *peertest.Proxy) {
	h := newHarness(t, func(c *entry.Config) { c.OutcomeTimeout = 300 * time.Millisecond })
	proxy := peertest.NewProxy(t, h.address)
	h.views.publish(control.GroupView{OwnerAddress: proxy.Address, OwnerIncarnation: testIncarnation, Term: testTerm})
	return h, proxy
}

// breakStreamOnce breaks the stream the first time that the text is run, after the bytes of
// prefix were sent as the start of the answer.
func breakStreamOnce(h *harness, proxy *peertest.Proxy, text string, prefix func(*peerv1.Request) []byte) {
	cut := false
	h.owner.serve = func(ctx context.Context, req *peerv1.Request, w peer.AnswerWriter) {
		if cut || !strings.Contains(string(req.GetBatch()), text) {
			answerBatch(req, w)
			return
		}
		cut = true
		if prefix != nil {
			_, _ = w.Write(prefix(req))
			time.Sleep(50 * time.Millisecond)
		}
		proxy.CloseConnections()
		<-ctx.Done()
		w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_UNKNOWN})
	}
}

// largeAnswer returns an answer larger than the buffers of the entry and the stream.
func largeAnswer(req *peerv1.Request) []byte {
	out, _ := batchAnswer(&peerv1.Request{Batch: req.GetBatch()})
	end := len(out) - 6 - 14 // ReadyForQuery and CommandComplete "SELECT 1".
	var rows []byte
	for range 40 {
		rows = append(rows, largeRow...)
	}
	return append(rows, out[end:]...)
}

var largeRow = func() []byte {
	value := strings.Repeat("x", 2000)
	return append([]byte{'D', 0, 0, byte((len(value) + 10) >> 8), byte(len(value) + 10), 0, 1, 0, 0, byte(len(value) >> 8), byte(len(value))}, value...)
}()

// Guards guarantees 5 and 6 when the stream to the owner breaks during a request. The
// answer that the owner has kept is delivered. A request that did not run is repeated, and
// so is a read. A write whose outcome is not known is neither repeated nor reported as
// not run.
func TestLostAnswer(t *testing.T) {
	kept, _ := batchAnswer(&peerv1.Request{Batch: simpleQuery(writeText)})
	running := 0
	cases := map[string]struct {
		text    string
		outcome func() *peerv1.QueryOutcomeResponse
		runs    int
		sqlCode string
		counter metrics.Name
	}{
		"done": {writeText, func() *peerv1.QueryOutcomeResponse {
			running++
			if running < 3 {
				return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_RUNNING}
			}
			return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_DONE, HasAnswer: true, Answer: kept, TransactionStatus: "I"}
		}, 1, "", metrics.KeptAnswersDelivered},
		"done, answer not kept": {writeText, func() *peerv1.QueryOutcomeResponse {
			return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_DONE, TransactionStatus: "I"}
		}, 1, "08007", metrics.UnknownOwnerLost},
		"not run": {writeText, func() *peerv1.QueryOutcomeResponse {
			return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_NOT_RUN}
		}, 2, "", metrics.RetryOwnerLost},
		"unknown write": {writeText, nil, 1, "08007", metrics.UnknownOwnerLost},
		"unknown read":  {readText, nil, 2, "", metrics.RetryReadRepeated},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, proxy := newHarnessWithProxy(t)
			conn := h.connect(t, "")
			breakStreamOnce(h, proxy, tc.text, nil)
			if tc.outcome != nil {
				h.owner.answerOutcome = func(*peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse { return tc.outcome() }
			}
			_, err := conn.Exec(testContext(t), tc.text, pgx.QueryExecModeSimpleProtocol)
			if tc.sqlCode == "" {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(pgError(g, err).Code).To(Equal(tc.sqlCode))
				g.Expect(pgError(g, err).Detail).To(Equal("outcome=unknown reason=unknown.owner_lost"))
			}
			g.Expect(h.owner.receivedRequests()).To(HaveLen(tc.runs))
			g.Expect(h.metrics.Count(tc.counter)).To(Equal(int64(1)))
			_, err = conn.Exec(testContext(t), "select 2", pgx.QueryExecModeSimpleProtocol)
			g.Expect(err).NotTo(HaveOccurred(), "the connection is usable afterwards")
		})
	}
}

// Guards against repeating a read, or sending an answer from its start again, after the
// caller has received a part of the answer.
func TestAnswerLostAfterPartWasSent(t *testing.T) {
	for name, keep := range map[string]bool{"kept": true, "lost": false} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h, proxy := newHarnessWithProxy(t)
			conn := h.connect(t, "")
			var whole []byte
			breakStreamOnce(h, proxy, readText, func(req *peerv1.Request) []byte {
				whole = append(rowHeader(), largeAnswer(req)...)
				return whole
			})
			h.owner.answerOutcome = func(*peerv1.QueryOutcomeRequest) *peerv1.QueryOutcomeResponse {
				return &peerv1.QueryOutcomeResponse{Outcome: peerv1.Outcome_OUTCOME_DONE, HasAnswer: keep, Answer: whole, TransactionStatus: "I"}
			}
			rows, err := conn.Query(testContext(t), readText, pgx.QueryExecModeSimpleProtocol)
			g.Expect(err).NotTo(HaveOccurred())
			n := 0
			for rows.Next() {
				n++
			}
			if keep {
				g.Expect(rows.Err()).NotTo(HaveOccurred())
				g.Expect(n).To(Equal(40))
			} else {
				g.Expect(pgError(g, rows.Err()).Code).To(Equal("08007"))
			}
			g.Expect(h.owner.receivedRequests()).To(HaveLen(1))
		})
	}
}

func rowHeader() []byte {
	out, _ := rowDescription.Encode(nil)
	return out
}

// Guards guarantee 5 and the retry rule: a request is sent again only if it did not run,
// and never if it was refused because of load, its outcome is unknown, or a part of its
// answer was sent.
func TestOnlyNotRunIsRetried(t *testing.T) {
	notRun := func(reason metrics.Name) *peerv1.Answer {
		return &peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_NOT_RUN, Reason: string(reason), Sqlstate: "57P03", RetryAfterMs: 5}
	}
	cases := map[string]struct {
		end     *peerv1.Answer
		partial bool
		runs    int
		detail  string
		counter metrics.Name
	}{
		"not owner":     {end: notRun(metrics.RefusedNotOwner), runs: 2, counter: metrics.RetryNotOwner},
		"lease":         {end: notRun(metrics.RefusedLeaseExpired), runs: 2, counter: metrics.RetryLease},
		"other":         {end: notRun("refused.something_new"), runs: 2, counter: metrics.RetryOther},
		"expected wait": {end: notRun(metrics.RefusedExpectedWait), runs: 1, detail: "outcome=not_run reason=refused.expected_wait"},
		"unknown": {
			end:  &peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_UNKNOWN, Reason: string(metrics.UnknownTermChanged)},
			runs: 1, detail: "outcome=unknown reason=unknown.term_changed",
		},
		"half answered": {end: notRun(metrics.RefusedLeaseExpired), partial: true, runs: 1, detail: "outcome=not_run reason=refused.lease_expired"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, nil)
			conn := h.connect(t, "")
			first := true
			h.owner.serve = func(_ context.Context, req *peerv1.Request, w peer.AnswerWriter) {
				if !first {
					answerBatch(req, w)
					return
				}
				first = false
				if tc.partial {
					_, _ = w.Write(append(rowHeader(), largeAnswer(req)...))
					time.Sleep(50 * time.Millisecond)
				}
				w.Finish(tc.end)
			}
			rows, _ := conn.Query(testContext(t), readText, pgx.QueryExecModeSimpleProtocol)
			rows.Close()
			if tc.detail == "" {
				g.Expect(rows.Err()).NotTo(HaveOccurred())
				g.Expect(h.metrics.Count(tc.counter)).To(Equal(int64(1)))
			} else {
				g.Expect(pgError(g, rows.Err()).Detail).To(Equal(tc.detail))
			}
			seen := h.owner.receivedRequests()
			g.Expect(seen).To(HaveLen(tc.runs))
			if tc.runs > 1 {
				g.Expect(seen[0].GetRequestId()).NotTo(Equal(seen[1].GetRequestId()))
			}
		})
	}
}

// Guards against retries that multiply the load: the retry budget must stop them.
func TestRetryBudget(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(t, nil)
	h.owner.serve = func(_ context.Context, _ *peerv1.Request, w peer.AnswerWriter) {
		w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_NOT_RUN, Reason: string(metrics.RefusedConnect)})
	}
	const callers = 30
	done := make(chan error, callers)
	for range callers {
		conn := h.connect(t, "")
		go func() {
			_, err := conn.Exec(testContext(t), readText, pgx.QueryExecModeSimpleProtocol)
			done <- err
		}()
	}
	for range callers {
		g.Expect(pgError(g, <-done).Detail).To(Equal("outcome=not_run reason=refused.connect"))
	}
	g.Expect(len(h.owner.receivedRequests())).To(BeNumerically("<=", callers+64+callers/10))
	g.Expect(h.metrics.Count(metrics.RetryBudgetSpent)).To(Equal(int64(callers)))
}

// Guards against requests that fail during a failover: they must wait while no owner can be
// reached, and go to the new owner as soon as the View, a candidate or an answer names it.
func TestRequestsFollowTheOwner(t *testing.T) {
	for _, how := range []string{"view", "locate", "answer"} {
		t.Run(how, func(t *testing.T) {
			g := NewWithT(t)
			h := newHarness(t, nil)
			conn := h.connect(t, "")
			next := startOwner(t)
			location := &peerv1.Location{Address: next.address, Incarnation: 8, Term: testTerm + 1}
			group := control.GroupView{OwnerAddress: h.address, OwnerIncarnation: testIncarnation, Term: testTerm}
			switch how {
			case "view":
				h.service.Close()
				time.AfterFunc(100*time.Millisecond, func() {
					h.views.publish(control.GroupView{OwnerAddress: next.address, OwnerIncarnation: 8, Term: testTerm + 1})
				})
			case "locate":
				h.service.Close()
				candidate := startOwnerWithLocation(t, location)
				group.Candidates = []string{candidate.address}
				h.views.publish(group)
			case "answer":
				h.owner.serve = func(_ context.Context, _ *peerv1.Request, w peer.AnswerWriter) {
					w.Finish(&peerv1.Answer{Outcome: peerv1.Outcome_OUTCOME_NOT_RUN, Reason: string(metrics.RefusedNotOwner), Location: location})
				}
			}
			start := time.Now()
			_, err := conn.Exec(testContext(t), writeText, pgx.QueryExecModeSimpleProtocol)
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("served by the new owner after %v", time.Since(start))
			seen := next.owner.receivedRequests()
			g.Expect(seen).To(HaveLen(1))
			g.Expect(seen[0].GetOwnerIncarnation()).To(Equal(uint64(8)))
			g.Expect(seen[0].GetTerm()).To(Equal(uint64(testTerm + 1)))
		})
	}
}

// Guards against a transaction that is continued at another owner, and against repeating
// a batch of a lost transaction.
func TestLostTransaction(t *testing.T) {
	for _, tc := range []struct {
		text, code string
		status     byte
	}{{writeText, "08006", 'E'}, {"commit", "08007", 'I'}} {
		t.Run(tc.text, func(t *testing.T) {
			g := NewWithT(t)
			h, proxy := newHarnessWithProxy(t)
			conn := h.connect(t, "")
			ctx := testContext(t)
			breakStreamOnce(h, proxy, tc.text, nil)
			_, err := conn.Exec(ctx, "begin", pgx.QueryExecModeSimpleProtocol)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(conn.PgConn().TxStatus()).To(Equal(byte('T')))
			_, err = conn.Exec(ctx, tc.text, pgx.QueryExecModeSimpleProtocol)
			g.Expect(pgError(g, err).Code).To(Equal(tc.code))
			g.Expect(conn.PgConn().TxStatus()).To(Equal(tc.status))
			g.Expect(h.owner.receivedRequests()).To(HaveLen(2))
			if tc.status == 'I' {
				return
			}
			// A caller that ignores the error must not write outside a transaction, and its
			// COMMIT must be answered with ROLLBACK.
			for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
				_, err = conn.Exec(ctx, writeText, mode)
				g.Expect(pgError(g, err).Code).To(Equal("25P02"))
				g.Expect(pgError(g, err).Detail).To(Equal("outcome=not_run reason=refused.transaction_lost"))
			}
			tag, err := conn.Exec(ctx, "commit", pgx.QueryExecModeSimpleProtocol)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(tag.String()).To(Equal("ROLLBACK"))
			g.Expect(conn.PgConn().TxStatus()).To(Equal(byte('I')))
			g.Expect(h.owner.receivedRequests()).To(HaveLen(2))
		})
	}
	t.Run("not sent", func(t *testing.T) {
		g := NewWithT(t)
		h := newHarness(t, nil)
		conn := h.connect(t, "")
		_, err := conn.Exec(testContext(t), "begin", pgx.QueryExecModeSimpleProtocol)
		g.Expect(err).NotTo(HaveOccurred())
		h.service.Close()
		time.Sleep(50 * time.Millisecond)
		_, err = conn.Exec(testContext(t), "commit", pgx.QueryExecModeSimpleProtocol)
		g.Expect(pgError(g, err).Code).To(Equal("40001"))
		g.Expect(pgError(g, err).Detail).To(Equal("outcome=not_run reason=refused.transaction_lost"))
		g.Expect(conn.PgConn().TxStatus()).To(Equal(byte('I')))
	})
}

// simpleQuery returns an encoded Query.
func simpleQuery(text string) []byte {
	n := len(text) + 5
	return append(append([]byte{'Q', 0, 0, byte(n >> 8), byte(n)}, text...), 0)
}
