package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// evidenceTimeout bounds the question to the other hosts whether the primary
	// still answers them.
	evidenceTimeout = 200 * time.Millisecond
	// fenceTimeout is how long the other hosts have to stop using the primary, above
	// the grace that they give to work in flight.
	fenceTimeout = 300 * time.Millisecond
	// plannedGrace is how long transactions on a leaving primary may go on while new
	// work already waits. It is above the time of most transactions.
	plannedGrace = 400 * time.Millisecond
	// catchUpTimeout bounds the wait for the successor to receive the rest of the
	// log.
	catchUpTimeout = 1200 * time.Millisecond
	// claimFresh is how long a claim allows a promotion after it was written.
	// Another host waits longer than this before it takes a claim over.
	claimFresh = 1200 * time.Millisecond
	// promoteTimeout bounds one promotion call; confirmTimeout the wait until the
	// successor reports that it leads.
	promoteTimeout = time.Second
	confirmTimeout = 3 * time.Second
	confirmPoll    = 25 * time.Millisecond
)

// Reasons for which a change of primary was given up.
var (
	errPrimaryAnswers = errors.New("the primary still answers")
	errClaimLost      = errors.New("another host holds the claim")
	errNoSuccessor    = errors.New("no endpoint can succeed")
	errNotLeading     = errors.New("the successor does not lead")
	errNewerTerm      = errors.New("a newer term leads already")
	errNoQuorum       = errors.New("no majority of the hosts answers")
)

// change is one change of a group's primary by this host.
type change struct {
	c      *control
	g      *group
	reason succession.Reason
	// term and old are the leadership that is replaced.
	term uint64
	old  *target
	// claim is this host's claim, written at claimedAt under the version.
	claim     claimRecord
	version   uint64
	claimedAt time.Time
	// ordered is true once a promotion may have been ordered.
	ordered bool
}

// replace replaces the group's primary. It runs on a goroutine of its own.
func (c *control) replace(g *group, reason succession.Reason) {
	ch := &change{c: c, g: g, reason: reason}
	g.mu.Lock()
	ch.term = max(g.term, g.seenTerm)
	ch.old = g.targets[g.primary]
	g.mu.Unlock()
	began := boottime.Now()
	c.gw.metrics.Inc(metrics.ChangesBegun)
	err := ch.run(c.gw.ctx)
	line := c.gw.events.log.Info()
	if err == nil {
		c.gw.metrics.Inc(metrics.ChangesDone)
	} else {
		c.gw.metrics.Inc(metrics.ChangesGivenUp)
		line = c.gw.events.log.Warn().Err(err)
	}
	line.Str("group", g.name).Str("reason", string(reason)).Uint64("term", ch.term).
		Dur("took_ms", boottime.Now().Sub(began)).Uint64("fence", ch.claim.Fence).Msg("change of primary ended")
	c.do(func() {
		w := c.watches[g.name]
		w.changing = false
		w.unreachable, w.unreachableSince = "", time.Time{}
		c.lastNews = time.Time{}
		if err != nil {
			w.gaveUpAt = boottime.Now()
		}
	})
}

// run performs the steps in order. Until the old primary is fenced, nothing has
// happened; after that the change is completed by this host or by another.
func (ch *change) run(ctx context.Context) error {
	found := make(chan map[string]Status, 1)
	go func() { found <- ch.survey() }()
	if err := ch.checkEvidence(ctx); err != nil {
		return err
	}
	if _, _, err := ch.choose(<-found); err != nil {
		return err
	}
	if err := ch.acquire(ctx); err != nil {
		return err
	}
	err := ch.fenceAll(ctx)
	if err == nil {
		err = ch.promote(ctx)
	}
	if err != nil && !ch.ordered {
		ch.withdraw(ctx)
	}
	return err
}

// survey asks the endpoints for their status. A primary that cannot be reached is
// left out, as the answers of the others would wait for it.
func (ch *change) survey() map[string]Status {
	if ch.reason == succession.ReasonUnreachable {
		return ch.c.survey(ch.g, ch.old)
	}
	return ch.c.survey(ch.g, nil)
}

// fence returns the claim as the other hosts are told of it.
func (ch *change) fence() FenceState {
	return FenceState{Term: ch.term, Version: ch.version, Withdrawn: ch.claim.Withdrawn}
}

// checkEvidence gives up if another host has heard from the primary since this
// host lost it.
func (ch *change) checkEvidence(ctx context.Context) error {
	poll := ch.askAll(ctx, FenceRequest{Group: ch.g.name, Ask: true}, evidenceTimeout)
	for _, r := range poll.replies {
		if r.Term > ch.term {
			return errNewerTerm
		}
		if ch.reason == succession.ReasonUnreachable && r.recent(succession.UnreachableTimeout) {
			return errPrimaryAnswers
		}
	}
	if !poll.quorum() {
		return errNoQuorum
	}
	return nil
}

// fenceAll stops the use of the old primary on every host. If a host does not
// answer, its permission to use primaries must have ended first.
func (ch *change) fenceAll(ctx context.Context) error {
	grace := time.Duration(0)
	if ch.reason.Planned() {
		grace = plannedGrace
	}
	request := FenceRequest{Group: ch.g.name, Fence: ch.fence(), Grace: grace}
	began := boottime.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		if _, err := ch.c.gw.Fence(request); err != nil {
			ch.c.gw.events.log.Warn().Err(err).Msg("own fence failed")
		}
	})
	relisted := false
	wg.Go(func() { relisted = ch.listHosts(ctx, fenceTimeout+grace) })
	poll := ch.askAll(ctx, request, fenceTimeout+grace)
	wg.Wait()
	ch.c.gw.events.log.Info().Str("group", ch.g.name).Int("hosts", poll.asked).Int("answered", len(poll.replies)).
		Int("stopped", poll.stopped).Dur("took_ms", boottime.Now().Sub(began)).Msg("old primary fenced")
	if !poll.quorum() {
		return errNoQuorum
	}
	if !poll.majority() && (!relisted || !ch.polledAll(&poll)) {
		// With one host more or less, the other half could be a majority.
		return errNoQuorum
	}
	demoted := make(chan struct{})
	go func() {
		defer close(demoted)
		ch.demote(ctx)
	}()
	if !poll.complete() || !relisted || ch.othersMayUse(&poll) {
		wait.Sleep(ctx, permission.Duration-boottime.Now().Sub(poll.quorumAt))
	}
	<-demoted
	return nil
}

// listHosts reads the hosts after the claim was written, so that every host is known
// that may not know the claim: one that is listed later reads the claims first. It
// reports whether it could.
func (ch *change) listHosts(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, _, err := ch.readClaim(ctx, claimPrefix+ch.g.name)
	if err != nil {
		ch.c.gw.events.log.Info().Str("group", ch.g.name).Err(err).Msg("hosts were not listed after the claim")
	}
	return err == nil
}

// othersMayUse reports whether a host that the poll did not ask may use primaries. A
// host that has just started does not know which hosts were listed before.
func (ch *change) othersMayUse(p *poll) bool {
	others := false
	ch.c.ask(func() {
		now := boottime.Now()
		others = now.Sub(ch.c.began) < permission.Duration || !p.askedAll(ch.c.mayUsePrimaries(now))
	})
	return others
}

// polledAll reports whether the poll asked exactly the hosts that may use primaries.
func (ch *change) polledAll(p *poll) bool {
	all := false
	ch.c.ask(func() {
		addresses := ch.c.mayUsePrimaries(boottime.Now())
		all = len(addresses) == p.asked && p.askedAll(addresses)
	})
	return all
}

// demote makes the old primary a replica, if it can be reached. It then neither
// commits nor serves as primary to hosts that have not heard of the change.
func (ch *change) demote(ctx context.Context) {
	if ch.old == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	st := session.Statement{Op: session.OpDemote, Args: strconv.FormatUint(ch.term+1, 10)}
	s, err := ch.c.gw.pool.command(ctx, ch.old, st)
	ch.c.gw.events.log.Info().Str("group", ch.g.name).Str("endpoint", ch.old.ID).Bool("primary", s.Primary).
		Uint64("term", s.Term).Stringer("received", s.Received).AnErr("error", err).Msg("old primary demoted")
}
