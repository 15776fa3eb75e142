package gateway

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// fakeRelayConn is a relay connection that records whether it was closed.
type fakeRelayConn struct {
	RelayConn
	closed bool
}

// Close implements Conn.
func (c *fakeRelayConn) Close() error {
	c.closed = true
	return nil
}

// Guards against statements that are sent to hosts which were relay hosts before the hosts
// changed: each of them refuses, and a statement ran out of attempts (reads refused on 40
// hosts under load, on which only a few statements ran before the last host had joined).
func TestConnectionsToFormerRelaysAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	gw := New(Config{Host: "h1"})
	tg := newTarget(newGroup("g", gw.pool), Endpoint{ID: "e", Group: "g"})
	plan := connPlan{limit: 12, window: 12, viaRelays: true, relays: []string{"a", "b"}}
	tg.applyPlan(plan)
	open := func(relay string) (*conn, *fakeRelayConn) {
		raw := &fakeRelayConn{}
		c := &conn{Conn: raw, target: tg, relayAddress: relay}
		tg.conns[c] = true
		return c, raw
	}
	idleOld, rawIdleOld := open("a")
	idleNew, rawIdleNew := open("b")
	usedOld, rawUsedOld := open("a")
	tg.idle = []*conn{idleOld, idleNew}
	plan.relays = []string{"b", "c"}
	tg.applyPlan(plan)
	g.Expect(tg.idle).To(ConsistOf(idleNew))
	g.Expect(rawIdleOld.closed).To(BeTrue())
	g.Expect(rawIdleNew.closed).To(BeFalse())
	g.Expect(rawUsedOld.closed).To(BeFalse(), "a statement is still running there")
	gw.pool.release(usedOld)
	g.Expect(rawUsedOld.closed).To(BeTrue())
	g.Expect(tg.idle).To(ConsistOf(idleNew))
}

// Guards against an endpoint that counts as down, or work that still goes to the killed
// host, because one of its three relay hosts was killed (seen on svfb-trestle-grown
// scale-1, herd_kill).
func TestOtherRelaysServeWhenOneFails(t *testing.T) {
	g := NewWithT(t)
	gw := New(Config{Host: "h1"})
	gr := newGroup("g", gw.pool)
	tg := newTarget(gr, Endpoint{ID: "e", Group: "g"})
	tg.viaRelays, tg.relays = true, []string{"a", "b"}
	dead, alive := &fakeRelayConn{}, &fakeRelayConn{}
	for relay, raw := range map[string]*fakeRelayConn{"a": dead, "b": alive} {
		c := &conn{Conn: raw, target: tg, relayAddress: relay}
		tg.conns[c] = true
		tg.idle = append(tg.idle, c)
	}
	gw.connectionLost(&conn{Conn: &fakeRelayConn{}, target: tg, relayAddress: "a"}, io.ErrUnexpectedEOF)
	now := boottime.Now()
	g.Expect(tg.usable(now)).To(BeTrue())
	g.Expect(dead.closed).To(BeTrue())
	g.Expect(alive.closed).To(BeFalse())
	for range 20 {
		relay, ok := tg.nextRelay(now, connRequest{})
		g.Expect(ok).To(BeTrue())
		g.Expect(relay).To(Equal("b"))
	}
	relay, _ := tg.nextRelay(now.Add(relayBackoff+time.Second), connRequest{})
	g.Expect(tg.relays).To(ContainElement(relay))
	gw.connectionLost(&conn{Conn: &fakeRelayConn{}, target: tg, relayAddress: "b"}, io.ErrUnexpectedEOF)
	g.Expect(tg.usable(boottime.Now())).To(BeFalse())
}
