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

// promote chooses a successor and orders its promotion until one leads.
func (ch *change) promote(ctx context.Context) error {
	target, err := ch.successor(ctx)
	if err != nil {
		return err
	}
	if boottime.Now().Sub(ch.claimedAt) > claimFresh {
		if err := ch.renew(ctx); err != nil {
			return err
		}
	}
	g := ch.g
	began := boottime.Now()
	ch.ordered = true
	call, cancel := context.WithTimeout(ctx, promoteTimeout)
	err = ch.c.gw.cfg.Promoter.Promote(call, g.name, target.ID, ch.claim.Holder, ch.claim.Fence)
	cancel()
	ch.c.gw.events.log.Info().Str("group", g.name).Str("endpoint", target.ID).Uint64("fence", ch.claim.Fence).
		Dur("took_ms", boottime.Now().Sub(began)).AnErr("error", err).Msg("promotion ordered")
	if errors.Is(err, ErrPromotionRefused) {
		ch.ordered = false
		return err
	}
	return ch.confirm(ctx, target)
}

// successor waits for the endpoint that should lead. A leaving primary has told
// where its log ends, and the successor should reach there.
func (ch *change) successor(ctx context.Context) (*target, error) {
	deadline := time.Now().Add(catchUpTimeout)
	for {
		found := ch.survey()
		target, end, err := ch.choose(found)
		if err != nil {
			return nil, err
		}
		status, known := found[target.ID]
		behind := known && status.Received.Less(end)
		if !behind || time.Now().After(deadline) {
			return target, nil
		}
		wait.Sleep(ctx, confirmPoll)
	}
}

// choose picks the successor among the endpoints that answered, and returns where
// the log ends as far as is known.
func (ch *change) choose(found map[string]Status) (*target, logpos.Position, error) {
	g := ch.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.term > ch.term {
		return nil, logpos.Position{}, errNewerTerm
	}
	var end logpos.Position
	var candidates []succession.Candidate
	replicas := 0
	for id, t := range g.targets {
		if t != ch.old {
			replicas++
		}
		s, ok := found[id]
		if !ok {
			continue
		}
		end = logpos.Max(end, s.Received)
		if t == ch.old && (ch.reason.ReplacesLive() || !s.Primary) {
			continue
		}
		if s.Primary && s.Term >= ch.term {
			return nil, end, errPrimaryAnswers
		}
		candidates = append(candidates, succession.Candidate{
			ID: id, Received: s.Received, Draining: t.leaving(boottime.Now()), SameZone: t.AvailabilityZone == g.pool.zone,
		})
	}
	if !succession.HasQuorum(len(candidates), replicas, g.config.SyncReplicas) {
		return nil, end, errNoSuccessor
	}
	best, ok := succession.Choose(candidates, g.config.SyncReplicas > 0)
	if !ok {
		return nil, end, errNoSuccessor
	}
	return g.targets[best.ID], end, nil
}

// confirm waits until the successor leads, and tells the other hosts.
func (ch *change) confirm(ctx context.Context, t *target) error {
	deadline := time.Now().Add(confirmTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s, err := ch.c.status(t)
		if err == nil && s.Primary && s.Term > ch.term {
			ch.c.do(func() { ch.c.lastNews = time.Time{} })
			return nil
		}
		wait.Sleep(ctx, confirmPoll)
	}
	return errNotLeading
}
