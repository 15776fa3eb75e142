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
	// outcomeGrace is how long the entry waits, beyond the caller's timeout, for the owner
	// to report the outcome.
	outcomeGrace = time.Second
)

// errIncompleteMessage reports that the answer broke off within a message that the caller
// has partly received, so that the connection must end.
var errIncompleteMessage = errors.New("the answer ends within a message")

// request sends one batch to the owner, with retries, and its answer to the caller.
type request struct {
	caller   *callerConn
	batch    *selfContainedBatch
	classes  batchClasses
	deadline time.Time
	// answer is the answer to the current attempt.
	answer *answerFilter
	// failedAttempts is the number of attempts so far that were retried.
	failedAttempts int
	// lastRefusal says why the previous attempt failed.
	lastRefusal *refusal
}

// attempt is one transmission of a request to an owner, with its own request ID.
type attempt struct {
	id    []byte
	owner *peerv1.Location
}

// attemptResult is the result of an attempt: a retry if retryReason is set, an error that
// ends the connection, a refusal, or otherwise an answer with its transaction status.
type attemptResult struct {
	retryReason metrics.Name
	// ownerWait is how long a retry waits for another owner before it goes to the same
	// one again.
	ownerWait time.Duration
	refusal   *refusal
	status    byte
	err       error
}

// newRequest returns the request for a batch.
func newRequest(c *callerConn, prepared *selfContainedBatch, classes batchClasses) *request {
	return &request{caller: c, batch: prepared, classes: classes, deadline: time.Now().Add(c.timeout)}
}

// run sends the batch, with retries, until there is a final result, and answers the caller.
// If it returns an error, the connection must end.
func (r *request) run() error {
	r.caller.server.retryBudget.countRequest()
	ctx, cancel := context.WithDeadline(r.caller.ctx, r.deadline.Add(outcomeGrace))
	defer cancel()
	waitCtx, cancelWait := context.WithDeadline(r.caller.ctx, r.deadline)
	defer cancelWait()
	r.caller.beginBatch(cancelWait)
	defer r.caller.endBatch()

	failed, ownerWait := (*peerv1.Location)(nil), time.Duration(0)
	for {
		r.answer = &answerFilter{w: r.caller, batch: r.batch}
		owner := r.findOwner(waitCtx, failed, ownerWait)
		if owner == nil {
			return r.refuse(r.giveUpRefusal(), r.caller.status)
		}
		a := attempt{id: newRequestID(), owner: owner}
		if !r.caller.setRunning(a) {
			return r.refuse(r.giveUpRefusal(), r.caller.status)
		}
		res := r.runAttempt(ctx, a)
		r.caller.clearRunning()
		if res.retryReason == "" {
			return r.finish(a, res)
		}
		r.caller.server.cfg.Metrics.Inc(res.retryReason)
		r.failedAttempts++
		failed, ownerWait = owner, res.ownerWait
	}
}

// findOwner returns the owner to send the request to, nil if none is found in time.
func (r *request) findOwner(waitCtx context.Context, failed *peerv1.Location, ownerWait time.Duration) *peerv1.Location {
	if r.caller.transaction != nil {
		return r.caller.transaction.owner
	}
	return r.caller.server.locator.findOwner(waitCtx, r.caller.pool, failed, ownerWait)
}

// giveUpRefusal returns the refusal of a request for which there is no further attempt.
func (r *request) giveUpRefusal() *refusal {
	switch {
	case r.caller.isCanceled():
		return notRun(stateCanceled, metrics.RefusedCanceled, "canceling statement due to user request")
	case r.lastRefusal != nil:
		return r.lastRefusal
	default:
		return notRun(stateCannotConnectNow, metrics.RefusedNoOwner, "no owner of database %q is known", r.caller.pool)
	}
}

// runAttempt sends the request to the owner and passes the answer to the caller.
func (r *request) runAttempt(ctx context.Context, a attempt) attemptResult {
	end, err := r.caller.server.cfg.Peers.Do(ctx, a.owner.GetAddress(), r.buildMessage(a), func(chunk []byte) error {
		_, err := r.answer.Write(chunk)
		return err
	})
	var broken *peer.StreamError
	switch {
	case err == nil:
		return r.handleEnd(end)
	case errors.Is(err, errCallerDisconnected), r.caller.ctx.Err() != nil:
		r.closeTransaction(a)
		return attemptResult{err: errCallerDisconnected}
	case errors.As(err, &broken) && !broken.Sent:
		return r.handleNotSent()
	case errors.As(err, &broken):
		return r.resolveLostAnswer(a, false)
	case errors.Is(err, context.DeadlineExceeded):
		r.closeTransaction(a)
		return r.resolveLostAnswer(a, true)
	default:
		r.closeTransaction(a)
		return r.refuseAndEndTransaction(unknown(stateInternal, metrics.UnknownOwnerLost, err.Error()))
	}
}

// buildMessage returns the message that is sent to the owner.
func (r *request) buildMessage(a attempt) *peerv1.Request {
	m := &peerv1.Request{
		RequestId:        a.id,
		OwnerIncarnation: a.owner.GetIncarnation(),
		Term:             a.owner.GetTerm(),
		Pool:             r.caller.pool,
		Session:          r.caller.session,
		Batch:            r.batch.data,
		TimeoutMs:        uint32(max(time.Until(r.deadline).Milliseconds(), 1)),
		RequestKey:       r.classes.requestKey,
		AvailabilityZone: r.caller.server.cfg.AvailabilityZone,
	}
	if r.caller.transaction != nil {
		m.TransactionId = r.caller.transaction.id
	}
	return m
}

// closeTransaction asks the owner to roll back the transaction that the attempt belongs to
// or may have begun.
func (r *request) closeTransaction(a attempt) {
	id := a.id
	if r.caller.transaction != nil {
		id = r.caller.transaction.id
	}
	r.caller.server.cfg.Peers.CloseTransaction(a.owner.GetAddress(), id)
}

// handleEnd handles the message that ends an answer.
func (r *request) handleEnd(end *peerv1.Answer) attemptResult {
	r.caller.server.locator.learn(r.caller.pool, end.GetLocation())
	switch end.GetOutcome() {
	case peerv1.Outcome_OUTCOME_NOT_RUN:
		return r.handleNotRun(end)
	case peerv1.Outcome_OUTCOME_DONE:
		return r.checkComplete(end.GetTransactionStatus())
	default:
		refused := unknown(orDefault(end.GetSqlstate(), stateOutcomeUnknown),
			metrics.Name(orDefault(end.GetReason(), string(metrics.UnknownOwnerLost))),
			orDefault(end.GetMessage(), "the outcome of the request is not known"))
		refused.counted = end.GetReason() != ""
		return attemptResult{refusal: refused, status: statusOf(end.GetTransactionStatus(), statusIdle)}
	}
}

// checkComplete returns the result of a batch that ran. The answer must not end within a
// message.
func (r *request) checkComplete(status string) attemptResult {
	if len(r.answer.partial) > 0 || r.answer.passThrough > 0 {
		return attemptResult{refusal: unknown(stateInternal, metrics.UnknownOwnerLost, errMalformedAnswer.Error()), status: statusIdle}
	}
	return attemptResult{status: statusOf(status, statusIdle)}
}

// handleNotRun retries or refuses a request that the owner did not run.
func (r *request) handleNotRun(end *peerv1.Answer) attemptResult {
	refused := notRun(orDefault(end.GetSqlstate(), stateCannotConnectNow), metrics.Name(end.GetReason()),
		"%s", orDefault(end.GetMessage(), "the request was not run"))
	refused.counted = true
	refused.retryAfter = time.Duration(end.GetRetryAfterMs()) * time.Millisecond
	if r.caller.transaction != nil {
		status := statusOf(end.GetTransactionStatus(), r.caller.status)
		if refused.reason == metrics.RefusedTransactionLost {
			status = statusIdle
		}
		return attemptResult{refusal: refused, status: status}
	}
	name, ok := retryReasonFor(refused.reason)
	if !ok {
		return attemptResult{refusal: refused, status: statusIdle}
	}
	return r.retryOrRefuse(name, refused, max(retryWait(ownerRetryWait, r.failedAttempts), refused.retryAfter))
}

// handleNotSent retries a request that never left this daemon. The attempt put no load on
// an owner, so the retry is not charged to the retry budget.
func (r *request) handleNotSent() attemptResult {
	if r.caller.transaction != nil {
		return r.refuseAndEndTransaction(transactionLostRefusal())
	}
	r.lastRefusal = notRun(stateCannotConnectNow, metrics.RefusedNoOwner, "the owner of database %q cannot be reached", r.caller.pool)
	return attemptResult{retryReason: metrics.RetryNotSent, ownerWait: retryWait(dialRetryWait, r.failedAttempts)}
}

// retryOrRefuse returns a retry if the caller has received nothing of the answer, there is
// time left and the retry budget allows it, and otherwise the refusal.
func (r *request) retryOrRefuse(name metrics.Name, refused *refusal, ownerWait time.Duration) attemptResult {
	if r.answer.started || r.caller.isCanceled() || !time.Now().Before(r.deadline) {
		return attemptResult{refusal: refused, status: statusIdle}
	}
	if !r.caller.server.retryBudget.tryRetry() {
		r.caller.server.cfg.Metrics.Inc(metrics.RetryBudgetSpent)
		return attemptResult{refusal: refused, status: statusIdle}
	}
	r.lastRefusal = refused
	return attemptResult{retryReason: name, ownerWait: ownerWait}
}

// refuseAndEndTransaction refuses the request and ends the transaction that it belongs
// to, if any.
func (r *request) refuseAndEndTransaction(refused *refusal) attemptResult {
	return attemptResult{refusal: refused, status: statusIdle}
}

// transactionLostRefusal returns the refusal of a batch that did not run because its
// transaction was lost with the owner.
func transactionLostRefusal() *refusal {
	return notRun(stateTransactionLost, metrics.RefusedTransactionLost, "the transaction was rolled back because its owner was lost")
}

// finish answers the caller and updates the transaction and the prepared statements.
func (r *request) finish(a attempt, res attemptResult) error {
	if res.err != nil {
		return res.err
	}
	if res.refusal != nil {
		r.updateTransaction(a, res.status)
		return r.refuse(res.refusal, r.caller.status)
	}
	for _, change := range r.answer.statementChanges {
		r.caller.statements.apply(change)
	}
	r.caller.updateTransaction(res.status, a)
	return r.sendEnd(res.status)
}

// updateTransaction updates the caller's transaction after a refusal.
func (r *request) updateTransaction(a attempt, status byte) {
	lost := r.caller.transaction != nil && status == statusIdle
	if lost {
		// The error says that the transaction was rolled back, but the owner may still
		// hold it open.
		r.closeTransaction(a)
	}
	if lost && r.classes.count(classCommit, classRollback) == 0 {
		r.caller.markTransactionLost()
		return
	}
	r.caller.updateTransaction(status, a)
}

// refuse ends the answer with an error.
func (r *request) refuse(refused *refusal, status byte) error {
	if !refused.counted {
		r.caller.server.cfg.Metrics.Inc(refused.reason)
	}
	if !r.answer.canAppendError() {
		return errIncompleteMessage
	}
	r.answer.appendError(refused)
	for _, change := range r.answer.statementChanges {
		r.caller.statements.apply(change)
	}
	return r.sendEnd(status)
}

// sendEnd writes the rest of the answer. ReadyForQuery is added unless the batch ends with
// Flush.
func (r *request) sendEnd(status byte) error {
	if !r.batch.endsWithFlush {
		return r.answer.sendReady(status)
	}
	r.caller.skipToSync = r.answer.failed
	return r.answer.flush()
}

// newRequestID returns a random request ID.
func newRequestID() []byte {
	id := make([]byte, requestIDSize)
	_, _ = rand.Read(id) // crypto/rand.Read never fails.
	return id
}

// statusOf returns the transaction status of an answer, or fallback if it is not valid.
func statusOf(s string, fallback byte) byte {
	switch s {
	case "I", "T", "E":
		return s[0]
	default:
		return fallback
	}
}

// orDefault returns s, or fallback if s is empty.
func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}
