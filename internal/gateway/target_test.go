package gateway

import (
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

// closedRelay is a relayed connection that counts as closed after Close.
type closedRelay struct {
	RelayConn
	closed bool
}

// Close implements Conn.
func (c *closedRelay) Close() error {
	c.closed = true
	return nil
}

// Guards against an endpoint that counts as down, or work that goes to a dead holder
// again, because one of the three holders of its connections was killed
// (svfb-trestle-grown scale-1, herd_kill).
func TestOtherHoldersServeWhenOneFails(t *testing.T) {
	g := NewWithT(t)
	gw := New(Config{Host: "h1"})
	gr := newGroup("g", gw.pool)
	tg := newTarget(gr, Endpoint{ID: "e", Group: "g"})
	tg.relayed, tg.holders = true, []string{"a", "b"}
	dead, alive := &closedRelay{}, &closedRelay{}
	for via, raw := range map[string]*closedRelay{"a": dead, "b": alive} {
		c := &conn{Conn: raw, target: tg, via: via}
		tg.conns[c] = true
		tg.idle = append(tg.idle, c)
	}
	gw.lost(&conn{Conn: &closedRelay{}, target: tg, via: "a"}, io.ErrUnexpectedEOF)
	now := boottime.Now()
	g.Expect(tg.usable(now)).To(BeTrue())
	g.Expect(dead.closed).To(BeTrue())
	g.Expect(alive.closed).To(BeFalse())
	for range 20 {
		via, ok := tg.via(now)
		g.Expect(ok).To(BeTrue())
		g.Expect(via).To(Equal("b"))
	}
	via, _ := tg.via(now.Add(holderBackoff + time.Second))
	g.Expect(tg.holders).To(ContainElement(via))
	gw.lost(&conn{Conn: &closedRelay{}, target: tg, via: "b"}, io.ErrUnexpectedEOF)
	g.Expect(tg.usable(boottime.Now())).To(BeFalse())
}
