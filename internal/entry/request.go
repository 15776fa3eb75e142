package entry

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/peer"
)

// Limits of one request.
const (
	// requestIDSize is the length of a request ID, in bytes.
	requestIDSize = 16
	// verdictGrace is how long the entry waits beyond the caller's timeout for the
	// owner's own verdict.
	verdictGrace = time.Second
)

// errEndConnection reports that the connection cannot go on.
var errEndConnection = errors.New("the connection cannot go on")

// request is one batch on its way to the owner and back.
type request struct {
	c        *caller
	batch    *prepared
	check    check
	deadline time.Time
	// answer is the answer of the current attempt.
	answer *answer
	// attempts is the number of attempts that ended without a verdict.
	attempts int
	// last is why the previous attempt did not run.
	last *refusal
}

// attempt is one sending of a request.
type attempt struct {
	id    []byte
	owner *peerv1.Location
}

// result is what an attempt came to: a retry, a refusal, or an answer with its
// transaction status.
type result struct {
	retry metrics.Name
	// patience is how long a retry waits for another owner.
	patience time.Duration
	refusal  *refusal
	status   byte
	err      error
}

// newRequest returns the request of a batch.
func newRequest(c *caller, p *prepared, ch check) *request {
	return &request{c: c, batch: p, check: ch, deadline: time.Now().Add(c.timeout)}
}

// run sends the batch until there is a verdict and answers the caller. An error
// ends the connection.
func (r *request) run() error {
	r.c.gate.budget.earn()
	ctx, cancel := context.WithDeadline(r.c.ctx, r.deadline.Add(verdictGrace))
	defer cancel()
	wait, cancelWait := context.WithDeadline(r.c.ctx, r.deadline)
	defer cancelWait()
	r.c.beginBatch(cancelWait)
	defer r.c.endBatch()

	failed, patience := (*peerv1.Location)(nil), time.Duration(0)
	for {
		r.answer = &answer{w: r.c, batch: r.batch}
		owner := r.owner(wait, failed, patience)
		if owner == nil {
			return r.refuse(r.noOwner(), r.c.status)
		}
		a := attempt{id: newRequestID(), owner: owner}
		if !r.c.setRunning(a) {
			return r.refuse(r.noOwner(), r.c.status)
		}
		res := r.try(ctx, a)
		r.c.clearRunning()
		if res.retry == "" {
			return r.finish(a, res)
		}
		r.c.gate.cfg.Metrics.Inc(res.retry)
		r.attempts++
		failed, patience = owner, res.patience
	}
}

// owner returns the owner to send to; nil if none is found in time.
func (r *request) owner(wait context.Context, failed *peerv1.Location, patience time.Duration) *peerv1.Location {
	if r.c.transaction != nil {
		return r.c.transaction.owner
	}
	return r.c.gate.locator.next(wait, r.c.pool, failed, patience)
}

// noOwner says why the request is given up without a further attempt.
func (r *request) noOwner() *refusal {
	switch {
	case r.c.isCanceled():
		return notRun(stateCanceled, metrics.RefusedCanceled, "canceling statement due to user request")
	case r.last != nil:
		return r.last
	default:
		return notRun(stateCannotConnectNow, metrics.RefusedNoOwner, "no owner of database %q is known", r.c.pool)
	}
}

// try makes one attempt.
func (r *request) try(ctx context.Context, a attempt) result {
	end, err := r.c.gate.cfg.Peers.Do(ctx, a.owner.GetAddress(), r.message(a), func(chunk []byte) error {
		_, err := r.answer.Write(chunk)
		return err
	})
	var broken *peer.StreamError
	switch {
	case err == nil:
		return r.ended(end)
	case errors.Is(err, errCallerGone), r.c.ctx.Err() != nil:
		r.abandon(a)
		return result{err: errCallerGone}
	case errors.As(err, &broken) && !broken.Sent:
		return r.notSent()
	case errors.As(err, &broken):
		return r.resolve(a, false)
	case errors.Is(err, context.DeadlineExceeded):
		r.abandon(a)
		return r.resolve(a, true)
	default:
		r.abandon(a)
		return r.lost(unknown(stateInternal, metrics.UnknownOwnerLost, err.Error()))
	}
}

// message returns the message of an attempt.
func (r *request) message(a attempt) *peerv1.Request {
	m := &peerv1.Request{
		RequestId:        a.id,
		OwnerIncarnation: a.owner.GetIncarnation(),
		Term:             a.owner.GetTerm(),
		Pool:             r.c.pool,
		Session:          r.c.session,
		Batch:            r.batch.data,
		TimeoutMs:        uint32(max(time.Until(r.deadline).Milliseconds(), 1)),
		RequestKey:       r.check.requestKey,
		AvailabilityZone: r.c.gate.cfg.AvailabilityZone,
	}
	if r.c.transaction != nil {
		m.TransactionId = r.c.transaction.id
	}
	return m
}

// abandon rolls back what an attempt that is given up may have opened.
func (r *request) abandon(a attempt) {
	id := a.id
	if r.c.transaction != nil {
		id = r.c.transaction.id
	}
	r.c.gate.cfg.Peers.CloseTransaction(a.owner.GetAddress(), id)
}

// ended sorts the end of an answer.
func (r *request) ended(end *peerv1.Answer) result {
	r.c.gate.locator.learn(r.c.pool, end.GetLocation())
	switch end.GetOutcome() {
	case peerv1.Outcome_OUTCOME_NOT_RUN:
		return r.notRun(end)
	case peerv1.Outcome_OUTCOME_DONE:
		return r.delivered(end.GetTransactionStatus())
	default:
		refused := unknown(orDefault(end.GetSqlstate(), stateOutcomeUnknown),
			metrics.Name(orDefault(end.GetReason(), string(metrics.UnknownOwnerLost))),
			orDefault(end.GetMessage(), "the outcome of the request is not known"))
		refused.counted = end.GetReason() != ""
		return result{refusal: refused, status: statusOf(end.GetTransactionStatus(), statusIdle)}
	}
}

// delivered checks that a served answer is whole.
func (r *request) delivered(status string) result {
	if len(r.answer.held) > 0 || r.answer.passing > 0 {
		return result{refusal: unknown(stateInternal, metrics.UnknownOwnerLost, errBadAnswer.Error()), status: statusIdle}
	}
	return result{status: statusOf(status, statusIdle)}
}

// notRun retries a request that the owner did not run, or refuses it.
func (r *request) notRun(end *peerv1.Answer) result {
	refused := notRun(orDefault(end.GetSqlstate(), stateCannotConnectNow), metrics.Name(end.GetReason()),
		"%s", orDefault(end.GetMessage(), "the request was not run"))
	refused.counted = true
	refused.retryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	if r.c.transaction != nil {
		status := statusOf(end.GetTransactionStatus(), r.c.status)
		if refused.reason == metrics.RefusedTransactionLost {
			status = statusIdle
		}
		return result{refusal: refused, status: status}
	}
	name, ok := retryName(refused.reason)
	if !ok {
		return result{refusal: refused, status: statusIdle}
	}
	return r.again(name, refused, max(patience(ownerPatience, r.attempts), refused.retryAfter))
}

// notSent retries a request that never left this daemon. It puts no load on any
// owner, so it is not charged to the retry budget.
func (r *request) notSent() result {
	if r.c.transaction != nil {
		return r.lost(transactionLost())
	}
	r.last = notRun(stateCannotConnectNow, metrics.RefusedNoOwner, "the owner of database %q cannot be reached", r.c.pool)
	return result{retry: metrics.RetryNotSent, patience: patience(dialPatience, r.attempts)}
}

// again returns a retry if the answer has not begun and the budget allows it,
// otherwise the refusal.
func (r *request) again(name metrics.Name, refused *refusal, patience time.Duration) result {
	if r.answer.started || r.c.isCanceled() || !time.Now().Before(r.deadline) {
		return result{refusal: refused, status: statusIdle}
	}
	if !r.c.gate.budget.spend() {
		r.c.gate.cfg.Metrics.Inc(metrics.RetryBudgetSpent)
		return result{refusal: refused, status: statusIdle}
	}
	r.last = refused
	return result{retry: name, patience: patience}
}

// lost refuses the request; a transaction that it belongs to is gone.
func (r *request) lost(refused *refusal) result {
	return result{refusal: refused, status: statusIdle}
}

// transactionLost refuses a batch that did not run because its transaction is
// gone.
func transactionLost() *refusal {
	return notRun(stateTransactionLost, metrics.RefusedTransactionLost, "the transaction was rolled back because its owner was lost")
}

// finish answers the caller and records the transaction.
func (r *request) finish(a attempt, res result) error {
	if res.err != nil {
		return res.err
	}
	if res.refusal != nil {
		r.afterRefusal(a, res.status)
		return r.refuse(res.refusal, r.c.status)
	}
	for _, change := range r.answer.changes {
		r.c.statements.apply(change)
	}
	r.c.setTransaction(res.status, a)
	return r.send(res.status)
}

// afterRefusal records the transaction status after a refusal.
func (r *request) afterRefusal(a attempt, status byte) {
	lost := r.c.transaction != nil && status == statusIdle
	if lost {
		// The owner may still hold the transaction that the caller is told is gone.
		r.abandon(a)
	}
	if lost && r.check.count(classCommit, classRollback) == 0 {
		r.c.loseTransaction()
		return
	}
	r.c.setTransaction(status, a)
}

// refuse ends the answer with an error.
func (r *request) refuse(refused *refusal, status byte) error {
	if !refused.counted {
		r.c.gate.cfg.Metrics.Inc(refused.reason)
	}
	if !r.answer.canFail() {
		return errEndConnection
	}
	r.answer.fail(refused)
	for _, change := range r.answer.changes {
		r.c.statements.apply(change)
	}
	return r.send(status)
}

// send writes the rest of the answer and ReadyForQuery, unless the caller ended
// the batch with Flush.
func (r *request) send(status byte) error {
	if !r.batch.flush {
		return r.answer.ready(status)
	}
	r.c.skipping = r.answer.failed
	return r.answer.flush()
}

// newRequestID returns a random request ID.
func newRequestID() []byte {
	id := make([]byte, requestIDSize)
	_, _ = rand.Read(id) // crypto/rand.Read never fails.
	return id
}

// statusOf returns the transaction status of an answer.
func statusOf(s string, other byte) byte {
	switch s {
	case "I", "T", "E":
		return s[0]
	default:
		return other
	}
}

// orDefault returns s, or other if s is empty.
func orDefault(s, other string) string {
	if s == "" {
		return other
	}
	return s
}
