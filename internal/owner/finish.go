package owner

import (
	"context"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// finishBatch waits for the confirmation of a batch that has run, raises the session's
// floor and counts the request.
func (r *request) finishBatch(ctx context.Context, conf confirmation, res batchResult, addr string, onPrimary bool) *attemptResult {
	if r.output.dropped {
		return refused(notRun(metrics.RefusedLeaseExpired, stateCannotConnectNow, "the read lease expired while a large answer was read"))
	}
	if conf.readOnly && !onPrimary && !r.group.coversFloor(conf.term, r.req.GetSession(), res.position) {
		return &attemptResult{refusal: notRun(metrics.RetryReadRepeated, stateSerialization, "the replica was behind the session"), retryReason: metrics.RetryReadRepeated}
	}
	if conf.readOnly && r.readKind.AllowUnconfirmed {
		conf.write.Upper = logpos.Position{}
	}
	if ref := r.group.awaitConfirmation(ctx, conf); ref != nil {
		if conf.readOnly && !r.output.streaming {
			return &attemptResult{refusal: ref, retryReason: metrics.RetryReadRepeated}
		}
		return refused(ref)
	}
	r.group.raiseFloor(conf.term, r.req.GetSession(), res.position)
	r.countServed(conf, onPrimary)
	return &attemptResult{status: res.status}
}

// countServed counts an answered request as a read or a write.
func (r *request) countServed(conf confirmation, onPrimary bool) {
	name := metrics.Writes
	if conf.readOnly {
		name = metrics.ReadsReplica
		if onPrimary {
			name = metrics.ReadsPrimary
			if r.readKind.MaxStalenessMs > 0 && len(r.req.GetTransactionId()) == 0 {
				r.owner.cfg.Metrics.Inc(metrics.ReadsPrimaryEligible)
			}
		}
	}
	r.owner.cfg.Metrics.Inc(name)
}

// connectionLost returns the result of a batch whose connection to the endpoint broke
// before the answer was complete.
func (r *request) connectionLost(ctx context.Context, conf confirmation) *attemptResult {
	if conf.readOnly && !r.output.streaming {
		return &attemptResult{
			refusal:     notRun(metrics.RefusedConnect, stateConnectionFailure, "the connection to the endpoint broke"),
			retryReason: metrics.RetryReadRepeated,
		}
	}
	if conf.readOnly {
		return refused(unknown(metrics.UnknownEndpointLost, "the connection to the endpoint broke in the middle of the answer"))
	}
	conf.write.UpperKnown = false
	return refused(r.group.awaitNextTerm(ctx, conf))
}

func (r *request) reportError(addr string) {
	r.owner.cfg.Controller.ReportEndpointError(r.req.GetPool(), addr)
}
