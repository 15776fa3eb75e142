package gateway

import (
	"context"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// farFuture is the end of a permission that outlasts a test, by whichever clock.
func farFuture() time.Time { return time.Unix(1<<40, 0) }

// queuedAt returns a request with a deadline of 500 ms and no latency objective.
func queuedAt(priority int, arrived time.Time) connRequest {
	return connRequest{QueuedRequest: Database{Timeout: 500 * time.Millisecond, Priority: priority}.queuedRequest(arrived)}
}

// Guards against a statement that waits for an overloaded endpoint until its deadline
// and is refused only then. 20 statements of 100 ms wait for 2 connections.
func TestStatementThatWouldMissDeadlineIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := &pool{metrics: metrics.NewRegistry()}
	tg := newTarget(newGroup("g", p), Endpoint{ID: "e"})
	tg.opening = tg.limit
	tg.serviceTime = 100 * time.Millisecond
	for range 20 {
		tg.waiting.push(queuedAt(1, boottime.Now()))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	began := time.Now()
	_, err := p.checkout(ctx, tg, queuedAt(1, boottime.Now()))
	g.Expect(err).To(MatchError(errNoConnection))
	g.Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	g.Expect(tg.waiting.len()).To(Equal(20))
}

// Guards against a statement that has waited for a connection and gets one that holds other values than
// its session, which costs a round trip, although one that holds them is idle.
func TestWaitingStatementGetsConnectionWithItsState(t *testing.T) {
	g := NewWithT(t)
	p, tg := poolWithIdleConns(3, 1)
	stateOf := func(n int) *session.State {
		s := session.New()
		s.Set("tz", strconv.Itoa(n))
		return s
	}
	for n, c := range tg.idle {
		c.state.SwitchTo(stateOf(n), false)
	}
	request := func(n int) connRequest {
		r := queuedAt(1, boottime.Now())
		r.state = stateOf(n)
		return r
	}
	held, err := p.checkout(t.Context(), tg, request(2))
	g.Expect(err).NotTo(HaveOccurred())
	got := make(chan *conn, 1)
	go func() {
		c, _ := p.checkout(t.Context(), tg, request(1))
		got <- c
	}()
	g.Eventually(func() int {
		tg.group.mu.Lock()
		defer tg.group.mu.Unlock()
		return tg.waiting.len()
	}).Should(Equal(1))
	p.release(held)
	var c *conn
	g.Eventually(got).Should(Receive(&c))
	g.Expect(c.state.Matches(stateOf(1))).To(BeTrue())
}

// Guards against a statement that loses its place in the queue when it chooses an
// endpoint again, and against a higher priority that does not go first.
func TestWaitQueueOrder(t *testing.T) {
	g := NewWithT(t)
	var q waitQueue
	start := time.Now()
	late := q.push(queuedAt(1, start.Add(3*time.Millisecond)))
	early := q.push(queuedAt(1, start))
	urgent := q.push(queuedAt(0, start.Add(5*time.Millisecond)))
	for _, next := range []*waiter{urgent, early} {
		g.Expect(q.first(start)).To(BeIdenticalTo(next))
		g.Expect(q.remove(next)).To(BeTrue())
	}
	g.Expect(q.remove(late)).To(BeTrue())
	g.Expect(q.remove(late)).To(BeFalse())
	g.Expect(q.first(start)).To(BeNil())
}

// statementStarted records that a statement is sent on the connection, whether or not its endpoint
// may be used, and returns the time.
func (p *pool) statementStarted(c *conn, primary bool) time.Time {
	c.target.group.mu.Lock()
	defer c.target.group.mu.Unlock()
	now := boottime.Now()
	c.recordStart(now, primary, false)
	return now
}
