package entry

import (
	"context"
	"time"

	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// Times between questions for a lost outcome.
const (
	outcomeTimeout  = time.Second
	outcomeInterval = 50 * time.Millisecond
)

// resolve finds out what became of an attempt whose answer was lost. late says
// that the caller's time is over.
func (r *request) resolve(a attempt, late bool) result {
	resp := r.askOutcome(a)
	if r.c.ctx.Err() != nil {
		return result{err: errCallerGone}
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

// resolvedNotRun handles an attempt that certainly did not run.
func (r *request) resolvedNotRun(resp *peerv1.QueryOutcomeResponse, late bool) result {
	if r.c.transaction != nil {
		return r.lost(transactionLost())
	}
	if late {
		return r.lost(notRun(stateCanceled, metrics.RefusedDeadline, "the request was not run in time"))
	}
	reason := metrics.Name(orDefault(resp.GetReason(), string(metrics.RefusedNeverRun)))
	refused := notRun(stateCannotConnectNow, reason, "the owner was lost before it ran the request")
	return r.again(metrics.RetryOwnerLost, refused, patience(dialPatience, r.attempts))
}

// resolvedDone delivers the kept answer of an attempt that ran. A transaction
// that the batch left open was rolled back with the stream.
func (r *request) resolvedDone(resp *peerv1.QueryOutcomeResponse, late bool) result {
	if statusOf(resp.GetTransactionStatus(), statusIdle) != statusIdle {
		if r.c.transaction == nil && !late && r.check.repeatable() {
			return r.resolvedUnknown(late)
		}
		return r.lost(r.rolledBack())
	}
	kept := resp.GetAnswer()
	if !resp.GetHasAnswer() || len(kept) < r.answer.raw {
		return r.resolvedUnknown(late)
	}
	if _, err := r.answer.Write(kept[r.answer.raw:]); err != nil {
		return result{err: err}
	}
	r.c.gate.cfg.Metrics.Inc(metrics.KeptAnswersDelivered)
	return r.delivered(resp.GetTransactionStatus())
}

// resolvedUnknown repeats a batch without effect, or tells the caller that the
// outcome is not known.
func (r *request) resolvedUnknown(late bool) result {
	refused := unknown(stateOutcomeUnknown, metrics.UnknownOwnerLost, "the owner was lost; the outcome of the request is not known")
	if r.c.transaction != nil {
		return r.lost(r.rolledBack())
	}
	if late {
		refused.message = "the owner did not answer in time; the outcome of the request is not known"
	}
	if late || !r.check.repeatable() {
		return r.lost(refused)
	}
	return r.again(metrics.RetryReadRepeated, refused, patience(dialPatience, r.attempts))
}

// rolledBack says what is known of a batch whose transaction is gone. Unless
// the batch may have committed, nothing of the transaction took effect; that the
// batch itself did not run is not claimed.
func (r *request) rolledBack() *refusal {
	if r.mayCommit() {
		return unknown(stateOutcomeUnknown, metrics.UnknownOwnerLost, "the owner was lost; whether the transaction committed is not known")
	}
	return unknown(stateConnectionFailure, metrics.UnknownOwnerLost, "the owner was lost; the transaction was rolled back")
}

// mayCommit reports whether the batch may end the transaction with a commit. An
// Execute of a portal that an earlier batch bound names no statement.
func (r *request) mayCommit() bool {
	return r.check.count(classCommit) > 0 || len(r.batch.texts) == 0
}

// askOutcome asks the owner that the attempt was addressed to, while it answers
// that the request still runs, or until it has not been reached for too long. It
// returns nil if no verdict was given.
func (r *request) askOutcome(a attempt) *peerv1.QueryOutcomeResponse {
	give := time.Now().Add(r.c.gate.cfg.OutcomeWait)
	for {
		resp, err := r.askOnce(a)
		now := time.Now()
		running := resp.GetOutcome() == peerv1.Outcome_OUTCOME_RUNNING
		switch {
		case err == nil && !running:
			return resp
		case r.c.ctx.Err() != nil:
			return nil
		case running && now.After(r.deadline.Add(verdictGrace)) && now.After(give):
			return nil
		case err != nil && (now.After(give) || r.needsNoVerdict()):
			return nil
		}
		wait.Sleep(r.c.ctx, jitter(outcomeInterval))
	}
}

// needsNoVerdict reports whether the batch can be repeated without knowing what
// became of it.
func (r *request) needsNoVerdict() bool {
	return r.c.transaction == nil && !r.answer.started && r.check.repeatable()
}

// askOnce asks once.
func (r *request) askOnce(a attempt) (*peerv1.QueryOutcomeResponse, error) {
	ctx, cancel := context.WithTimeout(r.c.ctx, outcomeTimeout)
	defer cancel()
	return r.c.gate.cfg.Peers.QueryOutcome(ctx, a.owner.GetAddress(), &peerv1.QueryOutcomeRequest{
		RequestId:        a.id,
		OwnerIncarnation: a.owner.GetIncarnation(),
		Pool:             r.c.pool,
	})
}
