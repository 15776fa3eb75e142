package gateway

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
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

// Guards against a statement that is sent after its proof although the primary has been fenced, the
// permission has ended, or the endpoint has joined a newer term meanwhile.
func TestProofDoesNotReplaceTheCheck(t *testing.T) {
	for name, c := range map[string]struct {
		meanwhile func(*primaryWork)
		answer    Reply
	}{
		"fence": {meanwhile: func(w *primaryWork) {
			_, _ = w.gw.Fence(FenceRequest{Group: "g", Fence: FenceState{Term: 1, Version: 1}})
		}},
		"claim learned": {meanwhile: func(w *primaryWork) { w.learn(FenceState{Term: 1, Version: 1}) }},
		"permission ended": {meanwhile: func(w *primaryWork) {
			w.gw.permittedUntil.Store(boottime.Now().UnixNano())
		}},
		"newer term": {answer: Reply{Position: logpos.Position{Term: 2, Offset: 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			w := newUnprovenWork()
			failed := make(chan error, 1)
			go func() { failed <- w.run() }()
			<-w.raw.proofSent
			if c.meanwhile != nil {
				c.meanwhile(w)
			}
			w.raw.proof <- c.answer
			g.Eventually(failed, time.Second).Should(Receive(MatchError(errNotStarted)))
			g.Expect(w.raw.sent).NotTo(BeClosed())
			g.Expect(w.conn.target.inFlight).To(BeZero())
		})
	}
}

// Guards against an answer to the proof that counts although the host has stood still since.
func TestProofCountsForALimitedTime(t *testing.T) {
	g := NewWithT(t)
	w := newPrimaryWork(time.Minute)
	confirm := func(age time.Duration) error {
		_, err := w.gw.pool.confirmStart(w.conn, Request{}, true, boottime.Now().Add(-age), Reply{})
		return err
	}
	g.Expect(confirm(proofTimeout + time.Millisecond)).To(MatchError(errUnproven))
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
