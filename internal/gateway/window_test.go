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

// idleConn is an open connection that nobody sends on.
type idleConn struct{ EndpointConn }

// Alive implements Conn.
func (idleConn) Alive() bool { return true }

// Close implements Conn.
func (idleConn) Close() error { return nil }

// withConns returns a pool and a target with idle connections and a window.
func withConns(conns, window int) (*pool, *target) {
	p := &pool{metrics: metrics.NewRegistry()}
	tg := newTarget(newGroup("g", p), Endpoint{ID: "e"})
	tg.limit, tg.window = conns, window
	for range conns {
		c := &conn{Conn: idleConn{}, target: tg, state: session.NewConnState()}
		tg.conns[c], tg.idle = true, append(tg.idle, c)
	}
	return p, tg
}

// Guards against work of a high priority that waits in the endpoint's queue behind work
// of others, because each host sends as much as it has connections (svfb-trestle scale-1:
// 26 statements under way before 3 slots).
func TestWorkBeyondTheWindowWaitsByPriority(t *testing.T) {
	g := NewWithT(t)
	p, tg := withConns(2, 1)
	held, err := p.checkout(t.Context(), tg, nil, turnOf(1, boottime.Now()))
	g.Expect(err).NotTo(HaveOccurred())
	order := make(chan int, 2)
	wait := func(priority int) {
		go func() {
			var c *conn
			err := errRequeue
			for turn := turnOf(priority, boottime.Now()); errors.Is(err, errRequeue); {
				c, err = p.checkout(t.Context(), tg, nil, turn)
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

// Guards against transactions that rest, and statements whose answers were lost, that
// keep other work from an endpoint with free slots.
func TestWindowLeavesOutRestingAndOverdueWork(t *testing.T) {
	for name, free := range map[string]func(*pool, *conn){
		"resting": func(p *pool, c *conn) { p.rest(c) },
		"overdue": func(p *pool, c *conn) {
			p.begin(c, true)
			c.since = c.since.Add(-overdueFactor * c.target.latency)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, tg := withConns(2, 1)
			first, err := p.checkout(t.Context(), tg, nil, turnOf(1, boottime.Now()))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = p.checkout(t.Context(), tg, nil, admission.QueuedRequest{Arrived: boottime.Now(), Deadline: boottime.Now().Add(time.Second)})
			g.Expect(err).To(MatchError(errRequeue))
			free(p, first)
			_, err = p.checkout(t.Context(), tg, nil, turnOf(1, boottime.Now()))
			g.Expect(err).NotTo(HaveOccurred())
		})
	}
}
