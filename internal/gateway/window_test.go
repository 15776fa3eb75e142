package gateway

import (
	"errors"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/admission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// idleConn is an open connection on which nothing is sent.
type idleConn struct{ EndpointConn }

// Alive implements Conn.
func (idleConn) Alive() bool { return true }

// Close implements Conn.
func (idleConn) Close() error { return nil }

// poolWithIdleConns returns a pool and a target with the given number of idle
// connections and the given window.
func poolWithIdleConns(conns, window int) (*pool, *target) {
	p := &pool{metrics: metrics.NewRegistry()}
	tg := newTarget(newGroup("g", p), Endpoint{ID: "e"})
	tg.limit, tg.window = conns, window
	for range conns {
		c := &conn{Conn: idleConn{}, target: tg, state: session.NewConnState()}
		tg.conns[c], tg.idle = true, append(tg.idle, c)
	}
	return p, tg
}

// Guards against high-priority statements that wait in the endpoint's queue behind
// others because each host sends as many statements as it has connections. This led to
// 26 statements in flight to an endpoint with 3 slots (seen on svfb-trestle scale-1).
func TestStatementsBeyondWindowWaitByPriority(t *testing.T) {
	g := NewWithT(t)
	p, tg := poolWithIdleConns(2, 1)
	held, err := p.checkout(t.Context(), tg, queuedAt(1, boottime.Now()))
	g.Expect(err).NotTo(HaveOccurred())
	order := make(chan int, 2)
	wait := func(priority int) {
		go func() {
			var c *conn
			err := errRequeue
			for queued := queuedAt(priority, boottime.Now()); errors.Is(err, errRequeue); {
				c, err = p.checkout(t.Context(), tg, queued)
			}
			order <- priority
			p.release(c)
		}()
	}
	waiting := func() int {
		tg.group.mu.Lock()
		defer tg.group.mu.Unlock()
		return tg.waiting.len()
	}
	wait(2)
	g.Eventually(waiting).Should(Equal(1))
	wait(1)
	g.Eventually(waiting).Should(Equal(2))
	p.release(held)
	g.Expect([]int{<-order, <-order}).To(Equal([]int{1, 2}))
}

// Guards against connections that are idle in transaction, and statements whose answers
// were lost, that keep other work away from an endpoint with free slots.
func TestWindowIgnoresIdleAndOverdueConnections(t *testing.T) {
	for name, free := range map[string]func(*pool, *conn){
		"idle": func(p *pool, c *conn) { p.markIdleInTransaction(c) },
		"overdue": func(p *pool, c *conn) {
			p.statementStarted(c, true)
			c.sentAt = c.sentAt.Add(-overdueFactor * c.target.serviceTime)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, tg := poolWithIdleConns(2, 1)
			first, err := p.checkout(t.Context(), tg, queuedAt(1, boottime.Now()))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = p.checkout(t.Context(), tg, connRequest{QueuedRequest: admission.QueuedRequest{Arrived: boottime.Now(), Deadline: boottime.Now().Add(time.Second)}})
			g.Expect(err).To(MatchError(errRequeue))
			free(p, first)
			_, err = p.checkout(t.Context(), tg, queuedAt(1, boottime.Now()))
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
