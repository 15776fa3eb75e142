package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// maxAttempts bounds how often one statement is sent; each attempt after the
	// first is charged to the retry budget.
	maxAttempts = 4
	// readPatience is the part of the remaining time that a read waits for one
	// endpoint before it is sent to another: an answer may have been lost.
	readPatience = 0.5
	// minPatience is the least time that a read waits for an answer, above the run
	// time of nearly all statements.
	minPatience = 250 * time.Millisecond
	// busyPause is the pause before a statement returns to an endpoint that shed
	// it; it is the order of magnitude of a statement's run.
	busyPause = 15 * time.Millisecond
	// recheck bounds the wait for a change of the group's view, so that endpoints
	// whose backoff has ended are tried again.
	recheck = 50 * time.Millisecond
)

// errDeposed says that a write was answered by an endpoint that may no longer be
// the primary, so that it may be lost.
var errDeposed = errors.New("the endpoint may have been replaced as primary")

// attempt is the result of sending a statement once.
type attempt struct {
	reply Reply
	// sent is false if nothing of the statement reached an endpoint.
	sent bool
	err  error
	at   choice
}

// hopeless reports whether the work was refused because only the primary can run it
// and the queue there is too long.
func (a attempt) hopeless(n need) bool { return n.primary && errors.Is(a.err, errNoConnection) }

// refusal returns why work is refused that did not run.
func (a attempt) refusal() metrics.Name {
	if errors.Is(a.err, errNoConnection) {
		return metrics.RefusedExpectedWait
	}
	return metrics.RefusedNoPrimary
}

// runSingle runs a statement outside a transaction. Writes are sent again only if
// they surely did not run.
func (s *sessionServer) runSingle(st session.Statement, arrived time.Time) Reply {
	ctx, cancel := s.callerContext(arrived)
	defer cancel()
	g := s.gateway.group(s.db.Group)
	if g == nil {
		return s.refuse(CodeBusy, metrics.RefusedNoPrimary)
	}
	n := newNeed(s.db, s.state.Floor, arrived, st.Writes)
	var last attempt
	for tries := 1; ; {
		at, ok := s.pick(ctx, g, n)
		if !ok {
			return s.giveUp(st, last)
		}
		a := s.try(ctx, st, at, n.primary, arrived)
		if errors.Is(a.err, errRequeue) {
			continue
		}
		if done, reply := s.conclude(st, a); done {
			return reply
		}
		last = a
		if a.hopeless(n) || !s.mayRetry(ctx, tries) {
			return s.giveUp(st, last)
		}
		tries++
		s.beforeRetry(ctx, st.ID, n, a)
	}
}

// mayRetry asks the budget for another attempt after so many.
func (s *sessionServer) mayRetry(ctx context.Context, tries int) bool {
	if tries >= maxAttempts || ctx.Err() != nil {
		return false
	}
	return s.gateway.retry()
}

// pick waits until an endpoint can serve the work.
func (s *sessionServer) pick(ctx context.Context, g *group, n need) (choice, bool) {
	for {
		g.mu.Lock()
		now := boottime.Now()
		at := g.choose(now, n)
		changed := g.changed
		cutOff := g.cutOff(now)
		g.mu.Unlock()
		if at.target != nil {
			return at, true
		}
		if cutOff {
			return choice{}, false
		}
		clear(n.avoid)
		timer := time.NewTimer(recheck)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return choice{}, false
		}
		timer.Stop()
	}
}

// try sends the statement to the endpoint once.
func (s *sessionServer) try(ctx context.Context, st session.Statement, at choice, primary bool, arrived time.Time) attempt {
	c, err := s.gateway.pool.checkout(ctx, at.target, s.state, s.db.turn(arrived))
	if err != nil {
		return attempt{err: err, at: at}
	}
	reply, err := s.send(c, primary, s.patience(ctx, st), false, Request{Statement: st, After: at.after})
	if err == nil && reply.OK() && st.Writes && !at.target.group.leads(boottime.Now(), at.target) {
		err = errDeposed
	}
	s.gateway.pool.release(c)
	return attempt{reply: reply, sent: !errors.Is(err, ErrNotSent), err: err, at: at}
}

// send runs the request on the connection, and records a lost answer.
func (s *sessionServer) send(c *conn, primary bool, deadline time.Time, inTransaction bool, r Request) (Reply, error) {
	reply, waited, err := s.gateway.pool.run(c, primary, deadline, s.state, inTransaction, r)
	if err != nil {
		s.gateway.events.lostAnswer(r.ID, s.db.Name, c.target, waited, err)
		s.gateway.lost(c, err)
	}
	return reply, err
}

// patience returns until when the answer is awaited.
func (s *sessionServer) patience(ctx context.Context, st session.Statement) time.Time {
	end, _ := ctx.Deadline()
	if st.Writes {
		return end
	}
	left := time.Until(end)
	wait := max(time.Duration(float64(left)*readPatience), minPatience)
	return time.Now().Add(min(wait, left))
}

// conclude decides whether the attempt settles the statement.
func (s *sessionServer) conclude(st session.Statement, a attempt) (bool, Reply) {
	switch {
	case a.err != nil && !a.sent:
		return false, Reply{}
	case a.err != nil && !st.Writes:
		return false, Reply{}
	case a.err != nil:
		return true, s.unknown(a.err)
	case a.reply.OK() && st.Writes:
		s.state.RecordCommit(a.reply.Position)
		return true, a.reply
	case a.reply.Code.NotRun():
		return false, Reply{}
	case a.reply.Code == CodeFailed && !st.Writes:
		return false, Reply{}
	}
	return true, a.reply
}

// unknown answers a write whose answer was lost.
func (s *sessionServer) unknown(err error) Reply {
	if isTimeout(err) {
		return s.refuse(CodeTimeout, metrics.UnknownTimeout)
	}
	return s.refuse(CodeInDoubt, metrics.UnknownEndpointLost)
}

// beforeRetry keeps the next attempt away from an endpoint that could not serve
// the statement.
func (s *sessionServer) beforeRetry(ctx context.Context, id string, n need, a attempt) {
	t := a.at.target
	n.avoid[t.ID] = true
	switch {
	case a.err == nil && a.reply.Code == CodeReadOnly:
		s.gateway.control.suspect(t)
		wait.Sleep(ctx, recheck)
	case n.primary && (a.err != nil || a.reply.Code == CodeBusy):
		wait.Sleep(ctx, busyPause)
	}
	s.gateway.metrics.Inc(retryReason(a))
	s.gateway.events.retry(id, s.db.Name, t, a)
}

// retryReason returns the counter of the attempt's failure.
func retryReason(a attempt) metrics.Name {
	switch {
	case !a.sent && a.err != nil:
		return metrics.RetryNoConnection
	case a.err != nil:
		return metrics.RetryAnswerLost
	}
	switch a.reply.Code {
	case CodeLagging:
		return metrics.RetryLagging
	case CodeReadOnly:
		return metrics.RetryReadOnly
	case CodeBusy, CodeTooMany:
		return metrics.RetryBusy
	}
	return metrics.RetryOther
}

// giveUp answers a statement that no further attempt is made for.
func (s *sessionServer) giveUp(st session.Statement, last attempt) Reply {
	switch {
	case last.sent && last.err == nil:
		return last.reply
	case last.sent && isTimeout(last.err):
		return s.refuse(CodeTimeout, metrics.UnknownTimeout)
	case last.sent:
		return s.refuse(CodeFailed, metrics.RefusedReadLost)
	}
	return s.refuse(CodeBusy, last.refusal())
}

// refuse counts and returns an error.
func (s *sessionServer) refuse(code Code, reason metrics.Name) Reply {
	s.gateway.metrics.Inc(reason)
	return s.failed(code, s.gateway.hint(reason))
}

// isTimeout reports whether the answer did not come in time.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
