package owner

import (
	"context"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
)

// settle waits for the confirmation, raises the session's floor and counts.
func (r *request) settle(ctx context.Context, conf confirmation, res batchResult, addr string, onPrimary bool) *attempt {
	if r.out.dropped {
		return refused(notRun(metrics.RefusedLeaseExpired, stateCannotConnect, "the read lease expired while a large answer was read"))
	}
	if conf.reads && !onPrimary && !r.g.coversFloor(conf.term, r.req.GetSession(), res.position) {
		return &attempt{refusal: notRun(metrics.RetryReadRepeated, stateSerialization, "the replica was behind the session"), again: metrics.RetryReadRepeated}
	}
	if conf.reads && r.read.AllowUnconfirmed {
		conf.write.Upper = logpos.Position{}
	}
	if ref := r.g.await(ctx, conf); ref != nil {
		if conf.reads && !r.out.streaming {
			return &attempt{refusal: ref, again: metrics.RetryReadRepeated}
		}
		return refused(ref)
	}
	r.g.raiseFloor(conf.term, r.req.GetSession(), res.position)
	r.count(conf, onPrimary)
	return &attempt{status: res.status}
}

func (r *request) count(conf confirmation, onPrimary bool) {
	name := metrics.Writes
	if conf.reads {
		name = metrics.ReadsReplica
		if onPrimary {
			name = metrics.ReadsPrimary
			if r.read.MaxStalenessMs > 0 && len(r.req.GetTransactionId()) == 0 {
				r.o.cfg.Metrics.Inc(metrics.ReadsPrimaryEligible)
			}
		}
	}
	r.o.cfg.Metrics.Inc(name)
}

// connectionLost decides the outcome of a batch whose answer was cut off.
func (r *request) connectionLost(ctx context.Context, conf confirmation) *attempt {
	if conf.reads && !r.out.streaming {
		return &attempt{
			refusal: notRun(metrics.RefusedConnect, stateConnectionFailure, "the connection to the endpoint broke"),
			again:   metrics.RetryReadRepeated,
		}
	}
	if conf.reads {
		return refused(unknown(metrics.UnknownEndpointLost, "the connection to the endpoint broke in the middle of the answer"))
	}
	conf.write.UpperKnown = false
	return refused(r.g.awaitTerm(ctx, conf))
}

func (r *request) reportError(addr string) {
	r.o.cfg.Controller.ReportEndpointError(r.req.GetPool(), addr)
}
