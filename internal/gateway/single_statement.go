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
	// maxAttempts limits how often one statement is sent. Each attempt after the first
	// is taken from the retry budget.
	maxAttempts = 4
	// readTimeoutShare is the part of the remaining time that a read waits for one
	// endpoint. The read is then sent to another endpoint, since the answer may be
	// lost.
	readTimeoutShare = 0.5
	// minReadTimeout is the minimum wait for the answer to a read. It is above the run
	// time of nearly all statements.
	minReadTimeout = 250 * time.Millisecond
	// maxRelayChanges limits how often one statement is sent to another relay host of the same
	// endpoint because a host does not hold connections to it. There are no more relay hosts.
	maxRelayChanges = directHosts
	// busyPause is the pause before a statement returns to an endpoint that rejected it
	// as busy. It is about the run time of one statement.
	busyPause = 15 * time.Millisecond
	// recheckInterval is how often a waiting statement looks for a usable endpoint even
	// if the group has not changed, so that endpoints are tried again after their
	// backoff.
	recheckInterval = 50 * time.Millisecond
)

// errPrimaryReplaced means that the endpoint of a statement may no longer be primary. Either this
// host has given the statement up for that reason, or the endpoint has answered a write, which may
// be lost.
var errPrimaryReplaced = errors.New("the endpoint may have been replaced as primary")

// attempt is the result of sending a statement once.
type attempt struct {
	reply Reply
	// sent is false if nothing of the statement reached an endpoint.
	sent   bool
	err    error
	chosen choice
}

// wrongRelay reports whether the host that was asked to relay the statement does not hold
// connections to the endpoint, which it then knows nothing about. Hosts disagree on the relay
// hosts for a while after hosts have joined or left.
func (a attempt) wrongRelay() bool {
	return a.err == nil && a.reply.FromRelay && a.reply.Code == CodeMisrouted
}

// choosesAgain reports whether nothing was sent because the endpoint was not free, or could not be
// used any more, so that another one may serve the statement.
func (a attempt) choosesAgain() bool {
	return errors.Is(a.err, errRequeue) || notStarted(a.err)
}

// queueFull reports whether a statement that only the primary can run was refused
// because too many statements wait there.
func (a attempt) queueFull(r requirement) bool { return r.primary && errors.Is(a.err, errNoConnection) }

// refusalReason returns the reason for refusing a statement that did not run.
func (a attempt) refusalReason() metrics.Name {
	switch {
	case errors.Is(a.err, errNoConnection):
		return metrics.RefusedExpectedWait
	case errors.Is(a.err, errReplayRefused):
		return metrics.RefusedReplay
	}
	return metrics.RefusedNoPrimary
}

// runSingle runs a statement outside a transaction. A write is sent again only if it
// certainly did not run.
func (s *sessionServer) runSingle(st session.Statement, arrived time.Time) Reply {
	ctx, cancel := s.statementContext(arrived)
	defer cancel()
	g := s.gateway.group(s.db.Group)
	if g == nil {
		return s.refuse(CodeBusy, metrics.RefusedNoPrimary)
	}
	if refusal := s.takeToken(ctx); refusal != nil {
		return *refusal
	}
	defer s.refundToken()
	req := newRequirement(s.db, s.state.Floor, arrived, st.Writes)
	var last attempt
	relayChanges := 0
	for tries := 1; ; {
		chosen, ok := s.awaitEndpoint(ctx, g, req)
		if !ok {
			return s.giveUp(st, last)
		}
		if refusal := s.renewAuthorization(ctx); refusal != nil {
			return *refusal
		}
		a := s.sendOnce(ctx, st, chosen, req.primary, arrived)
		if s.repeatsAttempt(a, &relayChanges) {
			continue
		}
		s.recordAttempt(a)
		if done, reply := s.decideOutcome(st, a); done {
			return reply
		}
		last = a
		if a.queueFull(req) || !s.mayRetry(ctx, tries) || s.takeToken(ctx) != nil {
			return s.giveUp(st, last)
		}
		tries++
		s.beforeRetry(ctx, st.ID, req, a)
	}
}

// repeatsAttempt reports whether the attempt is made again without counting as a try: nothing
// was sent, or another relay host of the endpoint may hold connections. relayChanges is how often
// the latter has happened.
func (s *sessionServer) repeatsAttempt(a attempt, relayChanges *int) bool {
	if a.choosesAgain() {
		return true
	}
	if !a.wrongRelay() || *relayChanges >= maxRelayChanges {
		return false
	}
	*relayChanges++
	s.gateway.metrics.Inc(metrics.RetryWrongRelay)
	return true
}

// mayRetry reports whether another attempt is allowed after the given number of tries,
// and takes it from the retry budget.
func (s *sessionServer) mayRetry(ctx context.Context, tries int) bool {
	if tries >= maxAttempts || ctx.Err() != nil {
		return false
	}
	return s.gateway.tryRetry()
}

// awaitEndpoint waits until an endpoint meets the requirement. It returns false if ctx ends,
// the host is cut off from the primary, or the primary has drained without a successor.
func (s *sessionServer) awaitEndpoint(ctx context.Context, g *group, req requirement) (choice, bool) {
	for {
		chosen, changed, refuse := g.chooseNow(req)
		if chosen.target != nil {
			return chosen, true
		}
		if refuse {
			return choice{}, false
		}
		clear(req.avoid)
		timer := time.NewTimer(recheckInterval)
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

// chooseNow chooses an endpoint. It also returns the channel that is closed at the next
// change of the group, and whether a statement that finds no endpoint should be refused at
// once, since it would probably wait in vain.
func (g *group) chooseNow(req requirement) (chosen choice, changed <-chan struct{}, refuse bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := boottime.Now()
	refuse = g.refusesToWait(now)
	return g.choose(now, req), g.changed, refuse
}

// refusesToWait reports whether a statement that finds no endpoint is refused at once. The mutex
// must be held.
func (g *group) refusesToWait(now time.Time) bool {
	primary := g.targets[g.primary]
	return g.cutOff(now) || primary != nil && primary.drained(now)
}

// sendOnce sends the statement to the endpoint once.
func (s *sessionServer) sendOnce(ctx context.Context, st session.Statement, chosen choice, primary bool, arrived time.Time) attempt {
	request := s.connRequest(arrived)
	request.primaryOnly, request.state = primary, s.state
	c, err := s.gateway.pool.checkout(ctx, chosen.target, request)
	if err != nil {
		return attempt{err: err, chosen: chosen}
	}
	reply, err := s.send(c, chosen.primary, s.answerDeadline(ctx, st), false, Request{Statement: st, After: chosen.after})
	if err == nil && reply.OK() && st.Writes && !chosen.target.group.mayUseAsPrimary(boottime.Now(), chosen.target) {
		s.gateway.events.answerNotCounted(st.ID, s.db.Name, chosen.target, reply.Position)
		err = errPrimaryReplaced
	}
	s.gateway.pool.release(c)
	return attempt{reply: reply, sent: !notSent(err), err: err, chosen: chosen}
}

// notSent reports whether the error means that the statement certainly did not reach its endpoint.
func notSent(err error) bool {
	return errors.Is(err, ErrNotSent) || errors.Is(err, errUnproven) || errors.Is(err, errReplayRefused) || notStarted(err)
}

// notStarted reports whether this host has not sent the statement, as it must not any more.
func notStarted(err error) bool { return errors.Is(err, errNotStarted) || errors.Is(err, errLate) }

// send runs the request on the connection and records the connection as lost if no
// answer came.
func (s *sessionServer) send(c *conn, primary bool, deadline time.Time, inTransaction bool, r Request) (Reply, error) {
	defer s.gateway.pool.releaseAfterPanic(c)
	r.Account, r.StartBy = s.account, s.authorized.until
	reply, waited, err := s.gateway.pool.run(c, primary, deadline, s.state, inTransaction, r)
	if reply.Dropped && reply.OK() {
		reply = reply.WithoutRows(r, inTransaction)
	}
	switch {
	case err == nil, notStarted(err):
		return reply, err
	case errors.Is(err, errUnproven), errors.Is(err, errReplayRefused):
		s.gateway.events.statementNotSent(r.ID, s.db.Name, c.target, err)
	default:
		s.gateway.events.answerLost(r.ID, s.db.Name, c.target, waited, err)
	}
	s.gateway.connectionLost(c, err)
	return reply, err
}

// answerDeadline returns the time until which to wait for the answer. Reads leave time
// for another attempt.
func (s *sessionServer) answerDeadline(ctx context.Context, st session.Statement) time.Time {
	end, _ := ctx.Deadline()
	if st.Writes {
		return end
	}
	left := time.Until(end)
	timeout := max(time.Duration(float64(left)*readTimeoutShare), minReadTimeout)
	return time.Now().Add(min(timeout, left))
}

// decideOutcome reports whether the attempt is final, and if so returns the answer.
func (s *sessionServer) decideOutcome(st session.Statement, a attempt) (bool, Reply) {
	switch {
	case a.reply.Dropped, a.reply.Ran:
		// Another attempt would need the memory as well.
		return true, a.reply
	case a.err != nil && !a.sent:
		return false, Reply{}
	case a.err != nil && !st.Writes:
		return false, Reply{}
	case a.err != nil:
		return true, s.unknownOutcome(a.err)
	case a.reply.OK() && st.Writes:
		s.state.RecordCommit(a.reply.Position)
		return true, a.reply
	case a.reply.Code.NoEffect():
		return false, Reply{}
	case a.reply.Code == CodeFailed && !st.Writes:
		return false, Reply{}
	}
	return true, a.reply
}

// unknownOutcome answers a write whose answer was lost or does not count.
func (s *sessionServer) unknownOutcome(err error) Reply {
	switch {
	case isTimeout(err):
		return s.refuse(CodeTimeout, metrics.UnknownTimeout)
	case errors.Is(err, errPrimaryReplaced):
		return s.refuse(CodeInDoubt, metrics.UnknownPrimaryReplaced)
	}
	return s.refuse(CodeInDoubt, metrics.UnknownEndpointLost)
}

// beforeRetry excludes the endpoint of the failed attempt from the next one, pauses if
// necessary, and records the retry.
func (s *sessionServer) beforeRetry(ctx context.Context, id string, req requirement, a attempt) {
	t := a.chosen.target
	req.avoid[t.ID] = true
	switch {
	case a.err == nil && a.reply.Code == CodeReadOnly:
		s.gateway.controller.requestProbe(t)
		wait.Sleep(ctx, recheckInterval)
	case req.primary && (a.err != nil || a.reply.Code == CodeBusy):
		wait.Sleep(ctx, busyPause)
	}
	s.gateway.metrics.Inc(retryReason(a))
	s.gateway.events.attemptFailed(id, s.db.Name, t, a)
}

// retryReason returns the retry counter for the attempt's failure.
func retryReason(a attempt) metrics.Name {
	switch {
	case errors.Is(a.err, errReplayRefused):
		return metrics.RetryReplayRefused
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
	case CodeBusy, CodeTooManyConnections:
		return metrics.RetryBusy
	}
	return metrics.RetryOther
}

// giveUp answers a statement that is not attempted again.
func (s *sessionServer) giveUp(st session.Statement, last attempt) Reply {
	switch {
	case last.sent && last.err == nil:
		return last.reply
	case last.sent && isTimeout(last.err):
		return s.refuse(CodeTimeout, metrics.UnknownTimeout)
	case last.sent:
		return s.refuse(CodeFailed, metrics.RefusedReadLost)
	}
	return s.refuse(CodeBusy, last.refusalReason())
}

// refuse counts a refusal and returns the error for the caller.
func (s *sessionServer) refuse(code Code, reason metrics.Name) Reply {
	s.gateway.metrics.Inc(reason)
	return s.failStatement(code, s.gateway.retryHint(reason))
}

// isTimeout reports whether err means that no answer came in time.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
