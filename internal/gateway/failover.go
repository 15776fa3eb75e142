package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/electorate"
	"github.com/beryltrestle/beryltrestle/coord/permission"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
	"github.com/beryltrestle/beryltrestle/internal/metrics"
	"github.com/beryltrestle/beryltrestle/internal/wait"
)

const (
	// primaryReportTimeout limits the poll that asks the other hosts whether the
	// primary still answers them, and their answer to a demotion.
	primaryReportTimeout = 200 * time.Millisecond
	// fenceTimeout is how long the other hosts have to stop using the primary, in
	// addition to the grace period for work in flight.
	fenceTimeout = 300 * time.Millisecond
	// plannedFailoverGrace is how long transactions on a leaving primary may continue
	// while new work already waits. It is longer than most transactions.
	plannedFailoverGrace = 400 * time.Millisecond
	// longestFencePoll is how long the hosts may take to acknowledge a claim after the first one
	// has, unless the holder waits for all permissions to end. A host that has restarted since its
	// acknowledgement relies on it.
	longestFencePoll = fenceTimeout + plannedFailoverGrace
	// catchUpTimeout limits the wait for the successor to receive the rest of the log.
	catchUpTimeout = 1200 * time.Millisecond
	// claimMaxAge is how long after its write a claim allows a promotion. Other hosts
	// wait longer than this before they take over a claim.
	claimMaxAge = 1200 * time.Millisecond
	// promoteTimeout limits a promotion call, counted from claimMaxAge, so that it ends
	// before another host takes over the claim. leadershipTimeout limits the wait until the
	// successor reports that it is primary.
	promoteTimeout     = time.Second
	leadershipTimeout  = 3 * time.Second
	statusPollInterval = 25 * time.Millisecond
)

// Reasons for which a failover was aborted.
var (
	errPrimaryAnswers = errors.New("the primary still answers")
	errClaimLost      = errors.New("another host holds the claim")
	errNoSuccessor    = errors.New("no endpoint can succeed")
	// errTooFewReplicas means that a replica that does not answer may be the only one with
	// the last acknowledged commits.
	errTooFewReplicas = errors.New("a replica that may hold acknowledged commits does not answer")
	errNotLeading     = errors.New("the successor did not become primary in time")
	errNewerTerm      = errors.New("a newer term already has a primary")
	errNoQuorum       = errors.New("no majority of the hosts answers")
	errTermPrepared   = errors.New("a claim has ended all terms before that of the primary")
	// errPromoterUnreachable means that this host could not order a promotion.
	errPromoterUnreachable = errors.New("the promotion service does not answer")
)

// failover is one attempt of this host to replace a group's primary.
type failover struct {
	controller *controller
	group      *group
	reason     succession.Reason
	// term and oldPrimary are the term and the primary that are replaced.
	term       uint64
	oldPrimary *target
	// fenceVersion is the version of the claim that fenced the group when this host decided
	// to replace the primary.
	fenceVersion uint64
	// succeedsUnseen is true if the term of the stalled claim has ended, so that an endpoint
	// that this host has not seen lead may lead the next term. The claim is then on that term.
	succeedsUnseen bool
	// termEnded is true once this host has ended the claim's term.
	termEnded bool
	// claim is this host's claim, written at claimedAt with row version claimVersion.
	claim        claimRecord
	claimVersion uint64
	claimedAt    time.Time
	// electorate is the electorate as of the write of the claim, which is conditional on it.
	electorate electorate.Electorate
}

// runFailover replaces the group's primary. It blocks and must not run on the
// controller goroutine.
func (c *controller) runFailover(g *group, reason succession.Reason) {
	f := &failover{controller: c, group: g, reason: reason}
	f.term = f.highestTerm()
	g.mu.Lock()
	f.oldPrimary = g.targets[g.primary]
	f.fenceVersion = g.fence.Version
	if reason == succession.ReasonStalled && g.fence.EndedTerm >= f.term {
		f.term, f.succeedsUnseen = g.fence.EndedTerm+1, true
	}
	g.mu.Unlock()
	began := boottime.Now()
	c.gw.metrics.Inc(metrics.FailoversStarted)
	err := f.run(c.gw.ctx)
	line := c.gw.events.log.Info()
	if err == nil {
		c.gw.metrics.Inc(metrics.FailoversCompleted)
	} else {
		c.gw.metrics.Inc(metrics.FailoversAborted)
		line = c.gw.events.log.Warn().Err(err)
	}
	line.Str("group", g.name).Str("reason", string(reason)).Uint64("term", f.term).
		Dur("took_ms", boottime.Now().Sub(began)).Uint64("fence", f.claim.Fence).Msg("change of primary ended")
	c.submit(func() {
		m := c.monitors[g.name]
		m.failoverRunning = false
		m.unreachableEndpoint, m.unreachableSince = "", time.Time{}
		// Without a claim no other host has learned of this attempt.
		c.startGossipRound(f.claimVersion > 0)
		if err != nil {
			m.failoverAbortedAt = boottime.Now()
		}
	})
}

// highestTerm returns the highest term that this host knows; 0 if no endpoint has told its
// term yet.
func (f *failover) highestTerm() uint64 {
	f.group.mu.Lock()
	defer f.group.mu.Unlock()
	return max(f.group.term, f.group.highestSeenTerm)
}

// run performs the steps of the failover in order. Until the old primary is fenced,
// nothing has changed; afterwards either this host or another one completes the
// failover.
func (f *failover) run(ctx context.Context) error {
	if f.reason == succession.ReasonUnclaimed {
		return f.endEarlierTerms(ctx)
	}
	found := make(chan map[string]Status, 1)
	f.controller.spawn("survey", func() { found <- f.survey() })
	reachable := make(chan error, 1)
	f.controller.spawn("reach promoter", func() { reachable <- f.controller.gw.cfg.Promoter.Reachable(ctx) })
	if err := f.checkPeerReports(ctx); err != nil {
		return err
	}
	statuses := <-found
	if f.term == 0 {
		// No endpoint had answered when the failover began.
		if f.term = f.highestTerm(); f.term == 0 {
			return errNoSuccessor
		}
	}
	_, _, err := f.chooseSuccessor(statuses)
	if errors.Is(err, errTooFewReplicas) && f.reason.ReplacesLive() {
		// A replica may receive the rest of the primary's log once the primary is fenced.
		err = nil
	}
	if err != nil {
		return err
	}
	if err := <-reachable; err != nil {
		// Another host may reach the platform, and the primary need not be fenced for it.
		return errors.CombineErrors(errPromoterUnreachable, err)
	}
	if err := f.acquireClaim(ctx); err != nil {
		return err
	}
	err = f.fenceAll(ctx)
	if err == nil {
		err = f.promote(ctx)
	}
	if err != nil {
		f.withdrawClaim(ctx)
	}
	return err
}

// endEarlierTerms makes every host stop using primaries of terms before that of the newest
// primary, which was promoted without a claim, and then allows the use of that one.
func (f *failover) endEarlierTerms(ctx context.Context) error {
	if err := f.checkPeerReports(ctx); err != nil {
		return err
	}
	if err := f.acquireClaim(ctx); err != nil {
		return err
	}
	err := f.fenceAll(ctx)
	if err == nil {
		f.claim.EndedTerm = max(f.claim.EndedTerm, f.term-1)
	}
	f.withdrawClaim(ctx)
	return err
}

// survey asks the endpoints for their status. It leaves out a primary that cannot be
// reached, because the result would wait for that one.
func (f *failover) survey() map[string]Status {
	if f.reason == succession.ReasonUnreachable {
		return f.controller.survey(f.group, f.oldPrimary)
	}
	return f.controller.survey(f.group, nil)
}

// fenceState returns the claim in the form that is sent to the other hosts.
func (f *failover) fenceState() FenceState {
	return f.claim.fenceState(f.claimVersion)
}

// checkPeerReports returns an error if another host knows a newer term, if the primary
// has answered another host recently, or if there is no quorum.
func (f *failover) checkPeerReports(ctx context.Context) error {
	var own string
	var voters electorate.Electorate
	var asked map[string]string
	var left func(string) bool
	f.controller.submitAndWait(func() {
		c := f.controller
		own, voters, left = c.ownAddress(), c.decidingVoters(), c.leftVoters()
		asked = c.withVoters(c.primaryUsers(boottime.Now()), voters)
	})
	request := FenceRequest{Group: f.group.name, QueryOnly: true}
	poll := f.controller.pollHosts(ctx, own, asked, request, primaryReportTimeout)
	for _, r := range poll.replies {
		if r.Term > f.term || f.succeedsUnseen && r.Term == f.term {
			return errNewerTerm
		}
		if f.reason == succession.ReasonUnreachable && r.primaryAnsweredWithin(succession.UnreachableTimeout) {
			return errPrimaryAnswers
		}
	}
	if !poll.quorum(voters, left) {
		return errNoQuorum
	}
	return nil
}

// pollHosts sends the request to all other hosts that may use primaries and to all voters.
// It returns the answers that arrive in time.
func (f *failover) pollHosts(ctx context.Context, voters electorate.Electorate, r FenceRequest, timeout time.Duration) hostPoll {
	var own string
	var asked map[string]string
	f.controller.submitAndWait(func() {
		own = f.controller.ownAddress()
		asked = f.controller.withVoters(f.controller.primaryUsers(boottime.Now()), voters)
	})
	return f.controller.pollHosts(ctx, own, asked, r, timeout)
}

// fenceAll makes every host stop using the old primary. If a host does not answer, whether or not
// it refuses the connection, fenceAll waits until that host's permission to use primaries has ended.
func (f *failover) fenceAll(ctx context.Context) error {
	grace := time.Duration(0)
	if f.reason.Planned() {
		grace = plannedFailoverGrace
	}
	request := FenceRequest{Group: f.group.name, Fence: f.fenceState(), Grace: grace}
	began := boottime.Now()
	var wg sync.WaitGroup
	wg.Go(f.controller.guarded("fence", func() {
		if _, err := f.controller.gw.Fence(request); err != nil {
			f.controller.gw.events.log.Warn().Err(err).Msg("fencing the old primary on this host failed")
		}
	}))
	refreshed, left, leftAt := false, noneLeft, boottime.Now()
	wg.Go(f.controller.guarded("refresh hosts", func() {
		if refreshed = f.refreshHosts(ctx, fenceTimeout+grace); refreshed {
			leftAt = boottime.Now()
			f.controller.submitAndWait(func() { left = f.controller.leftVoters() })
		}
	}))
	poll := f.pollHosts(ctx, f.electorate, request, fenceTimeout+grace)
	wg.Wait()
	took := boottime.Now().Sub(began)
	f.controller.gw.events.log.Info().Str("group", f.group.name).Uint64("claim", f.claimVersion).Uint64("claim_term", f.term).
		Int("hosts", len(poll.asked)).Int("answered", len(poll.replies)).Int("refused", len(poll.refused)).Dict("polled", poll.results()).
		Dur("took_ms", took).Msg("old primary fenced")
	if !poll.quorum(f.electorate, left) {
		return errNoQuorum
	}
	demoted := make(chan struct{})
	f.controller.spawn("demote", func() {
		defer close(demoted)
		f.demote(ctx, poll.hostsReachingPrimary())
	})
	accounted := false
	f.controller.submitAndWait(func() {
		accounted = refreshed && f.controller.accountedFor(&poll, f.electorate, took, boottime.Now())
	})
	if !accounted {
		quorumAt := poll.quorumAt(f.electorate, left, leftAt)
		remaining := permission.Duration - boottime.Now().Sub(quorumAt)
		f.controller.gw.events.log.Info().Str("group", f.group.name).Strs("answered", slices.Sorted(maps.Keys(poll.replies))).
			Strs("refused", slices.Sorted(maps.Keys(poll.refused))).Bool("refreshed", refreshed).Dur("wait_ms", remaining).Msg("waiting until other permissions have ended")
		wait.Sleep(ctx, remaining)
	}
	<-demoted
	return nil
}

// refreshHosts lists the hosts after the claim was written. This finds every host that
// may not know the claim, since hosts that are listed later read the claims first. It
// returns false if the store could not be read.
func (f *failover) refreshHosts(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := f.readClaim(ctx, claimPrefix+f.group.name)
	if err != nil {
		f.controller.gw.events.log.Info().Str("group", f.group.name).Err(err).Msg("hosts were not listed after the claim")
	}
	return err == nil
}

// accountedFor reports whether every other host that may use primaries has answered the poll, which
// took the given time, so that the holder need not wait for permissions to end. It is called after
// the hosts were listed once more, as a host may have written its row between the write of the claim
// and the poll. A host that has just started cannot tell, because it does not know which hosts were
// listed before, and neither can any host just after the store was restored, which may have lost the
// row of a host that had just joined. A host whose row was removed counts as one that may use
// primaries until a quorum of the voters has known of the removal for long enough.
func (c *controller) accountedFor(p *hostPoll, voters electorate.Electorate, took time.Duration, now time.Time) bool {
	recent := now.Sub(c.startedAt) < permission.Duration || now.Sub(c.restoration.completedAt) < permission.Duration
	return took <= longestFencePoll && !recent && p.answeredBy(c.primaryUsers(now)) && c.removalsAccountedFor(p, voters)
}
