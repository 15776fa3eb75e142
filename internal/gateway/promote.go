package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

// promote chooses a successor, orders its promotion, and waits until it is primary.
func (f *failover) promote(ctx context.Context) error {
	target, err := f.awaitSuccessor(ctx)
	if err != nil {
		return err
	}
	if err := f.prepareOrder(ctx); err != nil {
		return err
	}
	g := f.group
	began := boottime.Now()
	notAfter := f.claimedAt.Add(claimMaxAge)
	call, cancel := context.WithTimeout(ctx, notAfter.Add(promoteTimeout).Sub(boottime.Now()))
	// The age of the claim counts again right before the order is sent: the renewal and the
	// check of the path take time, and the process may be paused between any two steps.
	err = f.controller.gw.cfg.Promoter.Promote(call, Promotion{
		Group: g.name, Endpoint: target.ID, Holder: f.claim.Holder, Fence: f.claim.Fence, NotAfter: notAfter,
	})
	cancel()
	f.controller.gw.events.log.Info().Str("group", g.name).Str("endpoint", target.ID).Uint64("fence", f.claim.Fence).
		Uint64("claim", f.claimVersion).Uint64("claim_term", f.term).Int64("boot_ms", boottime.Milliseconds(began)).Dur("took_ms", boottime.Now().Sub(began)).AnErr("error", err).Msg("promotion ordered")
	if errors.Is(err, ErrPromotionRefused) {
		return err
	}
	return f.awaitLeadership(ctx, target)
}

// prepareOrder writes the claim again before a promotion is ordered. If an unseen endpoint may
// lead the claim's term, the promoted one leads that term or the next: the term cannot be
// ended before that is known.
func (f *failover) prepareOrder(ctx context.Context) error {
	if f.succeedsUnseen {
		return f.renewClaim(ctx)
	}
	return f.endTerm(ctx)
}

// awaitSuccessor chooses the successor and waits up to catchUpTimeout until it has
// received the log up to the highest reported position. A leaving primary still reports
// the end of its log.
func (f *failover) awaitSuccessor(ctx context.Context) (*target, error) {
	deadline := time.Now().Add(catchUpTimeout)
	for {
		found := f.survey()
		target, end, err := f.chooseSuccessor(found)
		expired := time.Now().After(deadline)
		switch {
		case err != nil && (expired || !errors.Is(err, errTooFewReplicas)):
			return nil, err
		case err == nil && (expired || !found[target.ID].Received.Less(end)):
			return target, nil
		}
		wait.Sleep(ctx, statusPollInterval)
	}
}

// chooseSuccessor chooses the successor among the endpoints that answered. It also
// returns the highest position that any of them has received.
func (f *failover) chooseSuccessor(found map[string]Status) (*target, logpos.Position, error) {
	g := f.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term > f.term {
		return nil, logpos.Position{}, errNewerTerm
	}
	var end logpos.Position
	var candidates, lastResort []succession.Candidate
	for id, t := range g.targets {
		s, ok := found[id]
		if !ok {
			continue
		}
		end = logpos.Max(end, s.Received)
		candidate := succession.Candidate{
			ID: id, Received: s.Received, Draining: t.leaving(boottime.Now()), SameZone: t.AvailabilityZone == g.pool.zone,
		}
		if t == f.oldPrimary && (f.reason.ReplacesLive() || !s.Primary) {
			lastResort = append(lastResort, candidate)
			continue
		}
		if s.Primary && s.Term >= f.term {
			return nil, end, errPrimaryAnswers
		}
		candidates = append(candidates, candidate)
	}
	if len(candidates) == 0 && f.reason == succession.ReasonStalled {
		// The ended term does not return. Once demoted, its primary may lead the next one.
		candidates = lastResort
	}
	best, ok := succession.Choose(candidates, g.config.SyncReplicas > 0)
	if !ok {
		return nil, end, errNoSuccessor
	}
	replicas := g.replicaSet.with(g.listedAddresses()).replicas()
	if !succession.HasQuorum(len(candidates), replicas, g.config.SyncReplicas) && !f.hasLogOfOldPrimary(best, found) {
		return nil, end, errTooFewReplicas
	}
	return g.targets[best.ID], end, nil
}

// hasLogOfOldPrimary reports whether the candidate has received everything that the old
// primary has, which still answers.
func (f *failover) hasLogOfOldPrimary(c succession.Candidate, found map[string]Status) bool {
	if f.oldPrimary == nil {
		return false
	}
	s, ok := found[f.oldPrimary.ID]
	return ok && s.Term >= f.term && !c.Received.Less(s.Received)
}

// awaitLeadership waits until the successor reports that it is primary, allows the use of its
// term unless that is allowed already, and starts a gossip round with all hosts.
func (f *failover) awaitLeadership(ctx context.Context, t *target) error {
	deadline := time.Now().Add(leadershipTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s, err := f.controller.queryStatus(t)
		if err == nil && s.Primary && (s.Term > f.term || f.succeedsUnseen && s.Term == f.term) {
			if f.succeedsUnseen {
				f.claim.EndedTerm = s.Term - 1
				f.withdrawClaim(ctx)
			}
			f.controller.submit(func() { f.controller.startGossipRound(true) })
			return nil
		}
		wait.Sleep(ctx, statusPollInterval)
	}
	return errNotLeading
}
