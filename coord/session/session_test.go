package session_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
)

// Guards against a statement that runs while values of another session are set.
func TestForeignValuesAreCleared(t *testing.T) {
	g := NewWithT(t)
	conn := session.NewConnState()
	a, b := session.New(), session.New()
	a.Set("zone", "1")
	a.Set("tz", "utc")
	b.Set("zone", "2")
	g.Expect(conn.SwitchTo(a, false)).To(HaveLen(2))
	g.Expect(conn.Matches(a)).To(BeTrue())
	replay := conn.SwitchTo(b, false)
	g.Expect(replay[0].Op).To(Equal(session.OpReset))
	g.Expect(replay[1:]).To(Equal([]session.Statement{{Op: session.OpSet, Name: "zone", Args: "2"}}))
	g.Expect(conn.Matches(b)).To(BeTrue())
	g.Expect(conn.SwitchTo(b, false)).To(BeEmpty())
}

// Guards against a wrong statement that runs because two sessions use the same name for
// different prepared statements.
func TestPreparedNamesOfSessionsDoNotCollide(t *testing.T) {
	g := NewWithT(t)
	conn := session.NewConnState()
	a, b := session.New(), session.New()
	a.Prepare("s1", "READ q1", false)
	b.Prepare("s1", "READ q2", false)
	pa, _ := a.Prepared("s1")
	pb, _ := b.Prepared("s1")
	g.Expect(pa.Alias()).NotTo(Equal(pb.Alias()))
	g.Expect(conn.PrepareIfMissing(pa)).To(HaveLen(1))
	g.Expect(conn.PrepareIfMissing(pa)).To(BeEmpty())
	g.Expect(conn.PrepareIfMissing(pb)).To(HaveLen(1))
	conn.ForgetPrepared(pb)
	g.Expect(conn.PrepareIfMissing(pb)).To(HaveLen(1))
}

// Guards against a ConnState that still lists prepared statements that a reset removed.
func TestResetForgetsPreparedStatements(t *testing.T) {
	g := NewWithT(t)
	conn := session.NewConnState()
	a, b := session.New(), session.New()
	a.Set("zone", "1")
	p := session.Prepared{Definition: "READ q1"}
	conn.SwitchTo(a, false)
	conn.PrepareIfMissing(p)
	conn.SwitchTo(b, false)
	g.Expect(conn.PrepareIfMissing(p)).To(HaveLen(1))
}

// Guards against a transaction that begins within another one.
func TestTransactionsDoNotNest(t *testing.T) {
	g := NewWithT(t)
	s := session.New()
	g.Expect(s.Begin(false, time.Unix(1, 0))).To(BeTrue())
	g.Expect(s.Begin(true, time.Unix(2, 0))).To(BeFalse())
	s.End()
	g.Expect(s.Transaction()).To(BeNil())
}

// Guards against connections that keep the texts of ended sessions without limit, because their
// size is not known.
func TestSizeOfConnState(t *testing.T) {
	g := NewWithT(t)
	conn := session.NewConnState()
	a, b := session.New(), session.New()
	a.Set("zone", "1234")
	conn.SwitchTo(a, false)
	g.Expect(conn.Bytes()).To(Equal(8))
	a.Set("zone", "1")
	conn.SwitchTo(a, false)
	g.Expect(conn.Bytes()).To(Equal(5))
	p := session.Prepared{Definition: "READ q1"}
	conn.PrepareIfMissing(p)
	conn.PrepareIfMissing(p)
	g.Expect(conn.Bytes()).To(Equal(5 + len(p.Alias())))
	conn.ForgetPrepared(p)
	conn.ForgetPrepared(p)
	g.Expect(conn.Bytes()).To(Equal(5))
	conn.SwitchTo(b, false)
	g.Expect(conn.Bytes()).To(BeZero())
}
