package entry

import (
	"context"
	"time"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// outcomeQueryTimeout is the timeout of one query for an outcome.
	outcomeQueryTimeout = time.Second
	// outcomeQueryInterval is the time between two such queries.
	outcomeQueryInterval = 50 * time.Millisecond
)

// resolveLostAnswer queries the outcome of an attempt whose answer was lost. late is true
// if the request's deadline has passed.
func (r *request) resolveLostAnswer(a attempt, late bool) attemptResult {
	resp := r.queryOutcome(a)
	if r.caller.ctx.Err() != nil {
		return attemptResult{err: errCallerDisconnected}
	}
	switch resp.GetOutcome() {
	case peerv1.Outcome_OUTCOME_NOT_RUN:
		return r.resolvedNotRun(resp, late)
	case peerv1.Outcome_OUTCOME_DONE:
		return r.resolvedDone(resp, late)
	default:
		return r.resolvedUnknown(late)
	}
}

// resolvedNotRun handles an attempt that certainly did not run and never will.
func (r *request) resolvedNotRun(resp *peerv1.QueryOutcomeResponse, late bool) attemptResult {
	if r.caller.transaction != nil {
		return r.refuseAndEndTransaction(transactionLostRefusal())
	}
	if late {
		return r.refuseAndEndTransaction(notRun(stateCanceled, metrics.RefusedDeadline, "the request was not run in time"))
	}
	reason := metrics.Name(orDefault(resp.GetReason(), string(metrics.RefusedNeverRun)))
	refused := notRun(stateCannotConnectNow, reason, "the owner was lost before it ran the request")
	return r.retryOrRefuse(metrics.RetryOwnerLost, refused, retryWait(dialRetryWait, r.failedAttempts))
}

// resolvedDone handles an attempt that ran: it sends the answer that the owner has kept. If
// the batch left a transaction open, that was rolled back when the stream broke.
func (r *request) resolvedDone(resp *peerv1.QueryOutcomeResponse, late bool) attemptResult {
	if statusOf(resp.GetTransactionStatus(), statusIdle) != statusIdle {
		if r.caller.transaction == nil && !late && r.classes.repeatable() {
			return r.resolvedUnknown(late)
		}
		return r.refuseAndEndTransaction(r.rolledBackRefusal())
	}
	kept := resp.GetAnswer()
	if !resp.GetHasAnswer() || len(kept) < r.answer.received {
		return r.resolvedUnknown(late)
	}
	if _, err := r.answer.Write(kept[r.answer.received:]); err != nil {
		return attemptResult{err: err}
	}
	r.caller.server.cfg.Metrics.Inc(metrics.KeptAnswersDelivered)
	return r.checkComplete(resp.GetTransactionStatus())
}

// resolvedUnknown handles an attempt that may have run. It repeats a batch that has no
// effect; otherwise the caller gets the error that the outcome is not known.
func (r *request) resolvedUnknown(late bool) attemptResult {
	refused := unknown(stateOutcomeUnknown, metrics.UnknownOwnerLost, "the owner was lost; the outcome of the request is not known")
	if r.caller.transaction != nil {
		return r.refuseAndEndTransaction(r.rolledBackRefusal())
	}
	if late {
		refused.message = "the owner did not answer in time; the outcome of the request is not known"
	}
	if late || !r.classes.repeatable() {
		return r.refuseAndEndTransaction(refused)
	}
	return r.retryOrRefuse(metrics.RetryReadRepeated, refused, retryWait(dialRetryWait, r.failedAttempts))
}

// rolledBackRefusal returns the refusal of a batch whose transaction was lost with the
// owner. Unless the batch may have committed the transaction, nothing of it took effect.
// The outcome is still "unknown", because the batch itself may have run.
func (r *request) rolledBackRefusal() *refusal {
	if r.mayCommit() {
		return unknown(stateOutcomeUnknown, metrics.UnknownOwnerLost, "the owner was lost; whether the transaction committed is not known")
	}
	return unknown(stateConnectionFailure, metrics.UnknownOwnerLost, "the owner was lost; the transaction was rolled back")
}

// mayCommit reports whether the batch may have committed the transaction. A batch without a
// statement text may, too: it can execute a portal that an earlier batch has bound.
func (r *request) mayCommit() bool {
	return r.classes.count(classCommit) > 0 || len(r.batch.executedTexts) == 0
}

// queryOutcome asks the owner for the outcome of the attempt. It repeats the query while
// the request is still running or the owner cannot be reached. It returns nil if there
// is no outcome in time, or if the owner cannot be reached and the batch can be repeated
// without knowing the outcome.
func (r *request) queryOutcome(a attempt) *peerv1.QueryOutcomeResponse {
	giveUpAt := time.Now().Add(r.caller.server.cfg.OutcomeTimeout)
	for {
		resp, err := r.queryOutcomeOnce(a)
		now := time.Now()
		running := resp.GetOutcome() == peerv1.Outcome_OUTCOME_RUNNING
		switch {
		case err == nil && !running:
			return resp
		case r.caller.ctx.Err() != nil:
			return nil
		case running && now.After(r.deadline.Add(outcomeGrace)) && now.After(giveUpAt):
			return nil
		case err != nil && (now.After(giveUpAt) || r.repeatableWithoutOutcome()):
			return nil
		}
		wait.Sleep(r.caller.ctx, jitter(outcomeQueryInterval))
	}
}

// repeatableWithoutOutcome reports whether the batch can be repeated although its outcome
// is not known.
func (r *request) repeatableWithoutOutcome() bool {
	return r.caller.transaction == nil && !r.answer.started && r.classes.repeatable()
}

// queryOutcomeOnce sends one query for the outcome of the attempt.
func (r *request) queryOutcomeOnce(a attempt) (*peerv1.QueryOutcomeResponse, error) {
	ctx, cancel := context.WithTimeout(r.caller.ctx, outcomeQueryTimeout)
	defer cancel()
	return r.caller.server.cfg.Peers.QueryOutcome(ctx, a.owner.GetAddress(), &peerv1.QueryOutcomeRequest{
		RequestId:        a.id,
		OwnerIncarnation: a.owner.GetIncarnation(),
		Pool:             r.caller.pool,
	})
}
