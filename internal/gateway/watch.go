package gateway

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/beryltrestle/beryltrestle/coord/placement"
	"github.com/beryltrestle/beryltrestle/coord/rows"
	"github.com/beryltrestle/beryltrestle/coord/succession"
	"github.com/beryltrestle/beryltrestle/internal/boottime"
)

const (
	// silentAfter is how long a statement may be without an answer, and its endpoint
	// without any other, before the endpoint is probed.
	silentAfter = 250 * time.Millisecond
	// probeEvery is the least time between two probes of one group.
	probeEvery = 100 * time.Millisecond
	// surveyEvery is the time between surveys of a group without a known primary.
	surveyEvery = 150 * time.Millisecond
)

// watch is what the control goroutine tracks of one group.
type watch struct {
	// unreachableSince is when the first of an unbroken series of probes failed, and
	// of which endpoint.
	unreachableSince time.Time
	unreachable      string
	lostSince        time.Time
	gaveUpAt         time.Time
	probing          bool
	probedAt         time.Time
	surveying        bool
	surveyedAt       time.Time
	changing         bool
	// claim is the newest claim that is known, with its version.
	claim        claimRecord
	claimVersion uint64
}

func newWatch() *watch { return &watch{} }

// suspect asks for a probe of the endpoint's group. It may be called from any
// goroutine.
func (c *control) suspect(t *target) {
	go c.do(func() {
		if w := c.watches[t.group.name]; w != nil {
			c.probe(boottime.Now(), t.group, w)
		}
	})
}

// watchGroup looks for a primary that must be replaced.
func (c *control) watchGroup(now time.Time, name string, g *group) {
	w := c.watches[name]
	v := c.view(now, g, w)
	if w.changing {
		return
	}
	if reason := succession.Decide(v); reason != succession.ReasonNone && !c.leaving {
		w.changing = true
		c.gw.events.log.Info().Str("group", name).Str("reason", string(reason)).Int("rank", v.Rank).Msg("replacing the primary")
		go c.replace(g, reason)
	}
}

// view collects what is known of the group.
func (c *control) view(now time.Time, g *group, w *watch) succession.View {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := succession.View{Now: now, GaveUpAt: w.gaveUpAt}
	leader := g.targets[g.primary]
	if leader == nil {
		if w.lostSince.IsZero() {
			w.lostSince = now
		}
		v.NeverSawPrimary = g.term == 0
		c.surveyLater(now, g, w)
	} else {
		w.lostSince = time.Time{}
		c.checkSilence(now, g, w, leader)
		c.tryDirect(now, leader)
		if leader.leaving(now) {
			v.DrainingSince = leader.drainingSince
		}
	}
	if w.unreachable == g.primary {
		v.UnreachableSince = w.unreachableSince
	}
	if c.endpointsListed {
		v.LostSince = w.lostSince
	}
	if g.fenced() && g.term > 0 {
		v.FencedAt = g.fencedAt
	}
	v.HoldsClaim = w.claim.Holder == c.gw.cfg.Host && w.claim.Incarnation == c.incarnation
	for id, t := range g.targets {
		if id != g.primary && !t.leaving(now) {
			v.Successors++
		}
	}
	if !v.NeedsNoChange() {
		v.Rank = c.rank(now, g.name, w, leader)
	}
	return v
}

// surveyLater starts a survey of a group without a primary, if one is due.
func (c *control) surveyLater(now time.Time, g *group, w *watch) {
	if w.surveying || now.Sub(w.surveyedAt) < surveyEvery || len(g.targets) == 0 {
		return
	}
	w.surveying, w.surveyedAt = true, now
	go func() {
		c.survey(g, nil)
		c.do(func() { w.surveying = false })
	}()
}

// checkSilence probes a primary that owes answers for too long. The group's mutex
// must be held.
func (c *control) checkSilence(now time.Time, g *group, w *watch, leader *target) {
	oldest := leader.oldestInFlight()
	owes := !oldest.IsZero() && now.Sub(oldest) > silentAfter && now.Sub(leader.answered) > silentAfter
	if owes || leader.failures > 0 {
		c.probeLocked(now, g, w)
	}
}

// probe asks the group's primary for its status.
func (c *control) probe(now time.Time, g *group, w *watch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.probeLocked(now, g, w)
}

func (c *control) probeLocked(now time.Time, g *group, w *watch) {
	t := g.targets[g.primary]
	if t == nil || w.probing || now.Sub(w.probedAt) < probeEvery {
		return
	}
	w.probing, w.probedAt = true, now
	go func() {
		_, err := c.status(t)
		if err != nil && !errors.Is(err, errNoStatus) && !errors.Is(err, errHolderRefused) {
			c.probeFailed(t, now)
		}
		c.do(func() { c.probed(g, w, t, now, err) })
	}()
}

// probeFailed looks for another way to an endpoint that has not answered since the
// time.
func (c *control) probeFailed(t *target, began time.Time) {
	g := t.group
	g.mu.Lock()
	silent := !t.answered.After(began)
	g.mu.Unlock()
	if !silent || c.seekDetour(c.gw.ctx, t) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	t.endDetour()
}

// probed records the result of a probe that began at the time.
func (c *control) probed(g *group, w *watch, t *target, began time.Time, err error) {
	w.probing = false
	if errors.Is(err, errHolderRefused) {
		// Nothing is known of the endpoint.
		return
	}
	g.mu.Lock()
	answered := t.answered
	g.mu.Unlock()
	if err == nil || answered.After(began) {
		w.unreachable, w.unreachableSince = "", time.Time{}
		return
	}
	if w.unreachable != t.ID {
		w.unreachable, w.unreachableSince = t.ID, began
	}
}

// claimChanged takes a claim from the store or another host.
func (c *control) claimChanged(name string, r rows.Row) {
	w := c.watches[name]
	g := c.gw.group(name)
	if w == nil || g == nil || r.Deleted || r.Version <= w.claimVersion {
		return
	}
	claim, err := decodeRecord[claimRecord](r)
	if err != nil {
		c.gw.events.log.Warn().Err(err).Msg("claim cannot be read")
		return
	}
	w.claim, w.claimVersion = claim, r.Version
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setFence(FenceState{Term: claim.Term, Version: r.Version, Withdrawn: claim.Withdrawn}, boottime.Now())
}

// rank returns the number of live hosts that act before this one. The holder of
// the last claim goes first, so that the holder rarely changes.
func (c *control) rank(now time.Time, group string, w *watch, leader *target) int {
	rank := 0
	if leader == nil || !c.fewHold(leader) {
		rank = c.rankAmong(now, group)
	} else {
		// Only the holders of connections see that the primary is silent.
		rank = c.position(c.rankHolders(c.liveHosts(now), leader.Endpoint))
	}
	holder := w.claim.Holder
	switch {
	case holder == c.gw.cfg.Host:
		return 0
	case holder != "" && c.members[holder] != nil && c.members[holder].live(now):
		return rank + 1
	}
	return rank
}

// rankAmong returns the number of live hosts that are ranked before this one for
// the group.
func (c *control) rankAmong(now time.Time, group string) int {
	hosts := c.liveHosts(now)
	ranked := placement.Rank(group, hosts, len(hosts))
	return c.position(ranked)
}

// position returns the number of hosts that are ranked before this one.
func (c *control) position(ranked []placement.Host) int {
	return slices.IndexFunc(ranked, func(h placement.Host) bool { return h.Name == c.gw.cfg.Host })
}
