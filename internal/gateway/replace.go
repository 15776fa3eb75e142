package gateway

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/session"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
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
	errNoMajority     = errors.New("no majority of the hosts answers")
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

// withdraw allows the use of the old primary again, as nothing has replaced it. If
// the claim cannot be written, the hosts stay fenced until the next attempt.
func (ch *change) withdraw(ctx context.Context) {
	ch.claim.Withdrawn = true
	if err := ch.renew(ctx); err != nil {
		ch.c.gw.events.log.Warn().Str("group", ch.g.name).Err(err).Msg("claim was not withdrawn")
		return
	}
	request := FenceRequest{Group: ch.g.name, Fence: ch.fence()}
	if _, err := ch.c.gw.Fence(request); err != nil {
		ch.c.gw.events.log.Warn().Err(err).Msg("own fence was not lifted")
	}
	ch.askAll(ctx, request, fenceTimeout)
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
		recent := r.AnsweredAgo >= 0 && r.AnsweredAgo < succession.ConfirmUnreachable
		if ch.reason == succession.ReasonUnreachable && recent {
			return errPrimaryAnswers
		}
	}
	if !poll.majority() {
		return errNoMajority
	}
	return nil
}

// poll is what the other hosts answered.
type poll struct {
	// asked is the number of other hosts.
	asked   int
	replies map[string]FenceReply
	// majorityAt is when the last answer came that made a majority; zero without one.
	majorityAt time.Time
	// stopped counts the hosts whose process does not run.
	stopped int
}

// majority reports whether a majority of all hosts agrees: this one, those that
// answered and those that do not run.
func (p *poll) majority() bool {
	return 1+len(p.replies)+p.stopped >= permission.Majority(p.asked+1)
}

// complete reports whether no host is left that may still use the primary.
func (p *poll) complete() bool { return len(p.replies)+p.stopped == p.asked }

// askAll sends the request to every other host and returns the answers that came
// in time.
func (ch *change) askAll(ctx context.Context, r FenceRequest, timeout time.Duration) poll {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	addresses := make(map[string]string)
	ch.c.ask(func() {
		for name, m := range ch.c.members {
			addresses[name] = m.Address
		}
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	out := poll{asked: len(addresses), replies: make(map[string]FenceReply)}
	if out.majority() {
		out.majorityAt = boottime.Now()
	}
	for name, address := range addresses {
		wg.Go(func() {
			reply, err := ch.c.gw.cfg.Peers.Fence(ctx, address, r)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				out.replies[name] = reply
			case ch.c.gw.cfg.Peers.NotRunning(err):
				out.stopped++
			}
			if out.majorityAt.IsZero() && out.majority() {
				out.majorityAt = boottime.Now()
			}
		})
	}
	wg.Wait()
	return out
}

// acquire writes this host's claim. The write is conditional on the claim that
// was read, so that of two hosts one fails; a claim whose answer was lost is read
// back.
func (ch *change) acquire(ctx context.Context) error {
	key := claimPrefix + ch.g.name
	held, version, err := ch.readClaim(ctx, key)
	if err != nil {
		return err
	}
	if held.Term > ch.term && !held.Withdrawn {
		return errNewerTerm
	}
	if held.Term == ch.term && !held.Withdrawn && version > 0 && ch.reason != succession.ReasonStalled && held.Holder != ch.c.gw.cfg.Host {
		return errClaimLost
	}
	ch.claim = claimRecord{Holder: ch.c.gw.cfg.Host, Incarnation: ch.c.incarnation, Fence: held.Fence, Term: ch.term}
	if held.Holder != ch.claim.Holder || held.Incarnation != ch.claim.Incarnation {
		ch.claim.Fence++
	}
	ch.claimedAt = boottime.Now()
	ch.version, err = ch.c.write(ctx, key, version, encodeRecord(ch.claim))
	if err == nil {
		return nil
	}
	if errors.Is(err, ErrConflict) || errors.Is(err, ErrStoreRefused) {
		return errors.CombineErrors(errClaimLost, err)
	}
	found, version, err := ch.readClaim(ctx, key)
	if err != nil || found != ch.claim {
		return errors.CombineErrors(errClaimLost, err)
	}
	ch.version = version
	return nil
}

// readClaim reads the group's claim from the store.
func (ch *change) readClaim(ctx context.Context, key string) (claimRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, listed, err := ch.c.gw.cfg.Store.List(ctx, TableState)
	if err != nil {
		return claimRecord{}, 0, err
	}
	// The hosts that are asked next must include every host that is listed now.
	ch.c.ask(func() { ch.c.changed(TableState, ch.c.tables[TableState].Replace(listing, listed)) })
	for _, r := range listing {
		if r.Key != key {
			continue
		}
		claim, err := decodeRecord[claimRecord](r)
		if err != nil {
			// A claim that cannot be read is replaced under its version.
			return claimRecord{}, r.Version, nil
		}
		return claim, r.Version, nil
	}
	return claimRecord{}, 0, nil
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
	own := make(chan struct{})
	go func() {
		defer close(own)
		if _, err := ch.c.gw.Fence(request); err != nil {
			ch.c.gw.events.log.Warn().Err(err).Msg("own fence failed")
		}
	}()
	poll := ch.askAll(ctx, request, fenceTimeout+grace)
	<-own
	ch.c.gw.events.log.Info().Str("group", ch.g.name).Int("hosts", poll.asked).Int("answered", len(poll.replies)).
		Int("stopped", poll.stopped).Dur("took_ms", boottime.Now().Sub(began)).Msg("old primary fenced")
	if !poll.majority() {
		return errNoMajority
	}
	demoted := make(chan struct{})
	go func() {
		defer close(demoted)
		ch.demote(ctx)
	}()
	if !poll.complete() || ch.removedRecently() {
		sleep(ctx, permission.Duration-boottime.Now().Sub(poll.majorityAt))
	}
	<-demoted
	return nil
}

// removedRecently reports whether a host's row vanished so recently that the host
// may still use primaries.
func (ch *change) removedRecently() bool {
	recently := false
	ch.c.ask(func() { recently = boottime.Now().Sub(ch.c.removedAt) < permission.Duration })
	return recently
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

// renew writes the claim again under its version, which fails if another host has
// taken it over.
func (ch *change) renew(ctx context.Context) error {
	at := boottime.Now()
	version, err := ch.c.write(ctx, claimPrefix+ch.g.name, ch.version, encodeRecord(ch.claim))
	if err != nil {
		return errors.CombineErrors(errClaimLost, err)
	}
	ch.version, ch.claimedAt = version, at
	return nil
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
		sleep(ctx, confirmPoll)
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
		if t == ch.old && (ch.reason.Planned() || !s.Primary) {
			continue
		}
		if s.Primary && s.Term >= ch.term {
			return nil, end, errPrimaryAnswers
		}
		candidates = append(candidates, succession.Candidate{
			ID: id, Received: s.Received, Draining: t.leaving(boottime.Now()), Near: t.AvailabilityZone == g.pool.zone,
		})
	}
	if !succession.Enough(len(candidates), replicas, g.config.SyncReplicas) {
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
		sleep(ctx, confirmPoll)
	}
	return errNotLeading
}
