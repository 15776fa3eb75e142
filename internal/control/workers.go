package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/claim"
	peerv1 "github.com/beryltrestle/beryltrestle/internal/gen/beryltrestle/peer/v1"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// pendingAction is an action that must not start before the View of the step that
// returned it is published.
type pendingAction struct {
	pool   string
	action claim.Action
}

// startPendingActions starts the queued actions. The View of their steps has been
// published.
func (l *Loop) startPendingActions() {
	for _, p := range l.pending {
		l.startAction(p.pool, p.action)
	}
	l.pending = l.pending[:0]
}

func (l *Loop) startAction(pool string, a claim.Action) {
	switch a := a.(type) {
	case claim.Call:
		l.startWorker(func(ctx context.Context) { l.postToMachine(ctx, pool, l.callEndpoint(ctx, a)) })
	case claim.RequestPreVotes:
		for _, p := range a.Peers {
			l.startWorker(func(ctx context.Context) { l.postToMachine(ctx, pool, l.requestPreVote(ctx, pool, a, p)) })
		}
	case claim.Drain:
		l.startWorker(func(ctx context.Context) { l.postToMachine(ctx, pool, l.drain(ctx, pool, a)) })
	case claim.OfferHandover:
		l.startWorker(func(ctx context.Context) { l.postToMachine(ctx, pool, l.offerHandover(ctx, pool, a)) })
	case claim.Note:
		l.recordNote(pool, a)
	}
}

// startWorker runs f on its own goroutine. Workers are not limited here: each call
// has a timeout, and a machine makes at most one call of a kind to an endpoint at
// a time.
func (l *Loop) startWorker(f func(ctx context.Context)) {
	ctx := l.workerContext
	l.workers.Go(func() { f(ctx) })
}

func (l *Loop) callEndpoint(ctx context.Context, c claim.Call) claim.Answer {
	ctx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
	defer cancel()
	answer := claim.Answer{Call: c, Started: time.Now()}
	status, err := l.sendCall(ctx, c)
	answer.Status = claimStatus(status)
	var staleTerm *platform.StaleTermError
	switch {
	case errors.As(err, &staleTerm):
		answer.Stale, answer.EndpointTerm = true, staleTerm.EndpointTerm
	case err != nil:
		answer.Failed = true
	}
	return answer
}

func (l *Loop) sendCall(ctx context.Context, c claim.Call) (platform.EndpointStatus, error) {
	gc := l.cfg.GroupControl
	switch c.Kind {
	case claim.CallAdvance:
		return gc.AdvanceTerm(ctx, c.Address, c.Term, l.holder)
	case claim.CallPromote:
		return gc.Promote(ctx, c.Address, c.Term, l.holder)
	case claim.CallFollow:
		return gc.Follow(ctx, c.Address, c.Term, l.holder, c.Primary)
	default:
		return gc.Status(ctx, c.Address)
	}
}

func (l *Loop) requestPreVote(ctx context.Context, pool string, a claim.RequestPreVotes, peer string) claim.PreVoteAnswered {
	ctx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
	defer cancel()
	res, err := l.cfg.Peers.PreVote(ctx, peer, &peerv1.PreVoteRequest{Pool: pool, Term: a.Term, Candidate: l.cfg.Address})
	return claim.PreVoteAnswered{
		Round:       a.Round,
		Peer:        peer,
		Failed:      err != nil,
		OwnerAlive:  res.GetOwnerAlive(),
		HighestTerm: res.GetHighestTerm(),
	}
}

func (l *Loop) drain(ctx context.Context, pool string, a claim.Drain) claim.Drained {
	if l.cfg.Drain != nil {
		l.cfg.Drain(ctx, pool)
	}
	return claim.Drained(a)
}

func (l *Loop) offerHandover(ctx context.Context, pool string, a claim.OfferHandover) claim.HandoverAnswered {
	ctx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
	defer cancel()
	res, err := l.cfg.Peers.Handover(ctx, a.To, &peerv1.HandoverRequest{Pool: pool, Term: a.Term, From: l.cfg.Address})
	return claim.HandoverAnswered{To: a.To, Accepted: err == nil && res.GetAccepted()}
}

// noteCounters are the counters that notes increment.
var noteCounters = map[claim.NoteKind]metrics.Name{
	claim.NoteClaimStarted: metrics.ClaimsStarted,
	claim.NoteOwned:        metrics.ClaimsWon,
	claim.NoteClaimLost:    metrics.ClaimsLost,
	claim.NoteSteppedDown:  metrics.StepDowns,
	claim.NoteStalled:      metrics.ControlStalls,
	claim.NoteHandedOver:   metrics.HandoversAccepted,
}

// noteMessages are the log messages of notes.
var noteMessages = map[claim.NoteKind]string{
	claim.NoteClaimStarted: "claim started",
	claim.NoteOwned:        "group owned",
	claim.NoteClaimLost:    "claim lost",
	claim.NoteSteppedDown:  "stepped down",
	claim.NoteStalled:      "control loop was stalled",
	claim.NoteHandedOver:   "group handed over",
}

// recordNote counts and logs a note of the pool's machine.
func (l *Loop) recordNote(pool string, n claim.Note) {
	l.cfg.Metrics.Inc(noteCounters[n.Kind])
	l.cfg.Log.Info().Str("pool", pool).Uint64("term", n.Term).Str("reason", n.Reason).Msg(noteMessages[n.Kind])
}
