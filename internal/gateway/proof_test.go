package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// newUnprovenWork returns work at a primary that does not answer the proof before proof delivers it.
func newUnprovenWork() *primaryWork {
	w := newPrimaryWork(time.Minute)
	w.raw = newSilentConn(true)
	w.conn.Conn = w.raw
	return w
}

// Guards against a statement that waits in the connection of an endpoint which stands still, and
// runs there after its successor has acknowledged commits (issue 42).
func TestStatementIsNotSentToSilentEndpoint(t *testing.T) {
	g := NewWithT(t)
	w := newUnprovenWork()
	began := time.Now()
	err := w.run()
	g.Expect(errors.Is(err, errUnproven)).To(BeTrue(), "%v", err)
	g.Expect(isTimeout(err)).To(BeTrue())
	g.Expect(time.Since(began)).To(BeNumerically("~", proofTimeout, proofTimeout/2))
	g.Expect(w.raw.sent).NotTo(BeClosed())
	g.Expect(w.conn.broken).To(BeTrue())
	g.Expect(w.group.lastPrimarySend.at).To(BeZero())
}

// Guards against a statement that is sent after its proof although the primary has been fenced or the
// permission has ended meanwhile.
func TestProofDoesNotReplaceTheCheck(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(*primaryWork)
	}{
		"fence": {meanwhile: func(w *primaryWork) {
			_, _ = w.gw.Fence(FenceRequest{Group: "g", Fence: FenceState{Term: 1, Version: 1}})
		}},
		"claim learned": {meanwhile: func(w *primaryWork) { w.learn(FenceState{Term: 1, Version: 1}) }},
		"permission ended": {meanwhile: func(w *primaryWork) {
			w.gw.permittedUntil.Store(boottime.Now().UnixNano())
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newUnprovenWork()
			failed := make(chan error, 1)
			go func() { failed <- w.run() }()
			<-w.raw.proofSent
			c.meanwhile(w)
			w.raw.proof <- Reply{}
			g.Eventually(failed, time.Second).Should(Receive(MatchError(errNotStarted)))
			g.Expect(w.raw.sent).NotTo(BeClosed())
			g.Expect(w.conn.target.inFlight).To(BeZero())
		})
	}
}

// Guards against a statement of a transaction that is sent after the replay of session state although the
// primary has been fenced meanwhile.
func TestReplayDoesNotReplaceTheCheck(t *testing.T) {
	g := NewWithT(t)
	w := newUnprovenWork()
	state := session.New()
	state.Prepare("p", "READ q", false)
	failed := make(chan error, 1)
	go func() {
		request := Request{Statement: session.Statement{ID: "q", Op: session.OpExecute, Name: "p"}}
		_, _, err := w.gw.pool.run(w.conn, true, time.Now().Add(time.Minute), state, true, request)
		failed <- err
	}()
	<-w.raw.proofSent
	w.learn(FenceState{Term: 1, Version: 1})
	w.raw.proof <- Reply{}
	g.Eventually(failed, time.Second).Should(Receive(MatchError(errNotStarted)))
	g.Expect(w.raw.sent).NotTo(BeClosed())
	g.Expect(w.group.lastPrimarySend.at).To(BeZero())
}

// Guards against a statement that is sent although the replay of its session state is not answered, and
// against a connection that is used again then: what is set on it is not known.
func TestUnansweredReplayEndsTheConnection(t *testing.T) {
	g := NewWithT(t)
	w := newUnprovenWork()
	state := session.New()
	state.Prepare("p", "READ q", false)
	request := Request{Statement: session.Statement{ID: "q", Op: session.OpExecute, Name: "p"}}
	_, _, err := w.gw.pool.run(w.conn, false, time.Now().Add(50*time.Millisecond), state, true, request)
	g.Expect(errors.Is(err, errUnproven)).To(BeTrue(), "%v", err)
	g.Expect(notSent(err)).To(BeTrue())
	g.Expect(w.raw.sent).NotTo(BeClosed())
	w.gw.pool.release(w.conn)
	g.Expect(w.raw.closed).To(BeClosed())
	g.Expect(w.conn.target.idle).To(BeEmpty())
}

// Guards against an answer to the proof that counts although the host has stood still since.
func TestProofCountsForALimitedTime(t *testing.T) {
	g := NewWithT(t)
	w := newPrimaryWork(time.Minute)
	confirm := func(age time.Duration) error {
		_, err := w.gw.pool.confirmStart(w.conn, work{primary: true, newWork: true, needsProof: true}, boottime.Now().Add(-age))
		return err
	}
	g.Expect(confirm(proofTimeout + time.Millisecond)).To(MatchError(errProofExpired))
	g.Expect(confirm(0)).To(Succeed())
}

// Guards against proofs for statements that have no effect of their own, which would only take time,
// and against a missing one for a statement that has.
func TestStatementsThatNeedAProof(t *testing.T) {
	g := NewWithT(t)
	needs := func(op session.Op, primary, inTransaction bool) bool {
		return Request{Statement: session.Statement{Op: op}}.needsProof(primary, inTransaction)
	}
	for _, op := range []session.Op{session.OpRead, session.OpWrite, session.OpExecute} {
		g.Expect(needs(op, true, false)).To(BeTrue())
		g.Expect(needs(op, true, true)).To(BeFalse())
		g.Expect(needs(op, false, false)).To(BeFalse())
	}
	g.Expect(needs(session.OpCommit, true, true)).To(BeTrue())
	g.Expect(needs(session.OpCommit, false, true)).To(BeFalse())
	g.Expect(needs(session.OpBegin, true, false)).To(BeFalse())
	g.Expect(needs(session.OpDemote, true, false)).To(BeFalse())
}

// Guards against a relay host that keeps the connection of a transaction whose COMMIT it did not send:
// the work of another caller would run in that transaction.
func TestRelayHostEndsTransactionOfUnprovenCommit(t *testing.T) {
	g := NewWithT(t)
	w := newUnprovenWork()
	w.gw.keepRelayedTransaction(7, w.conn)
	request := RelayRequest{TransactionID: 7, Group: "g", Endpoint: "e1", PrimaryOnly: true, InTransaction: true, Timeout: time.Minute}
	request.Request.Statement = session.Statement{ID: "c", Op: session.OpCommit}
	reply, err := w.gw.Relay(t.Context(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Code).To(Equal(CodeAborted))
	g.Expect(w.raw.sent).NotTo(BeClosed())
	g.Expect(w.raw.closed).To(BeClosed())
	g.Expect(w.conn.target.idle).To(BeEmpty())
}

// Guards against a relay host that sends a single statement to a silent endpoint, and against one that
// does not tell that it has not sent it.
func TestRelayHostDoesNotSendToSilentEndpoint(t *testing.T) {
	g := NewWithT(t)
	w := newUnprovenWork()
	w.conn.target.idle, w.conn.target.limit, w.conn.target.window = []*conn{w.conn}, 1, 1
	request := RelayRequest{TransactionID: 8, Group: "g", Endpoint: "e1", PrimaryOnly: true, Timeout: time.Minute}
	request.Request.Statement = session.Statement{ID: "w", Op: session.OpWrite, Writes: true}
	reply, err := w.gw.Relay(t.Context(), request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(reply.Code).To(Equal(CodeMisrouted))
	g.Expect(w.raw.sent).NotTo(BeClosed())
}

// Guards against an answer that is read late, as the host has stood still, and is charged to the
// endpoint; the endpoint is asked again.
func TestExpiredProofIsRepeated(t *testing.T) {
	g := NewWithT(t)
	c := &conn{}
	endpoint := &countingConn{}
	expired := 2
	err := c.prepareToSend(endpoint, time.Now().Add(time.Minute), nil, sendCheck{proof: true, confirm: func(time.Time) error {
		if expired--; expired >= 0 {
			return errProofExpired
		}
		return nil
	}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(endpoint.sent).To(Equal(3))
	g.Expect(c.broken).To(BeFalse())
	err = c.prepareToSend(endpoint, time.Now().Add(10*time.Millisecond), nil, sendCheck{proof: true, confirm: func(time.Time) error { return errProofExpired }})
	g.Expect(errors.Is(err, errUnproven)).To(BeTrue())
	g.Expect(c.broken).To(BeTrue())
}

// countingConn answers every request at once and counts them.
type countingConn struct {
	EndpointConn
	sent int
}

// Send implements EndpointConn.
func (c *countingConn) Send(_ time.Time, requests ...Request) error {
	c.sent += len(requests)
	return nil
}

// Receive implements EndpointConn.
func (c *countingConn) Receive(time.Time) (Reply, error) { return Reply{}, nil }
