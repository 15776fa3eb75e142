package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
)

// exclusion says why an endpoint cannot serve a statement now; empty if it can.
type exclusion string

// Exclusions of the primary.
const (
	notExcluded          exclusion = ""
	excludedUnknown      exclusion = "no primary is known"
	excludedFenced       exclusion = "the primary is being replaced"
	excludedUnclaimed    exclusion = "the primary was promoted while another one may still be used"
	excludedNotPermitted exclusion = "this host has no permission to use primaries"
	excludedDrained      exclusion = "draining for too long"
)

// Exclusions of any endpoint, or of replicas.
const (
	excludedRemoved         exclusion = "no longer listed"
	excludedBackoff         exclusion = "backoff after a failure"
	excludedNotPrimary      exclusion = "not the primary"
	excludedDraining        exclusion = "draining"
	excludedRevoked         exclusion = "the connection was closed as the primary may be replaced"
	excludedAvoided         exclusion = "could not serve the statement before"
	excludedUnknownPosition exclusion = "the position that a replica must have is not known"
	excludedLag             exclusion = "the lag does not cover the position"
)

// primaryExclusion returns why this host may not use the primary now, whether or not it can be
// reached. The group's mutex must be held.
func (g *group) primaryExclusion(now time.Time) exclusion {
	switch {
	case g.targets[g.primary] == nil:
		return excludedUnknown
	case g.fenced():
		return excludedFenced
	case g.unclaimed():
		return excludedUnclaimed
	case !g.pool.primaryPermitted(now):
		return excludedNotPermitted
	}
	return notExcluded
}

// exclusion returns why the target gets no new work now, whichever it is.
func (t *target) exclusion(now time.Time) exclusion {
	switch {
	case t.removed:
		return excludedRemoved
	case !t.usable(now):
		return excludedBackoff
	}
	return notExcluded
}

// need is what a statement needs of replicas.
type need struct {
	// primaryOnly is true if no replica can serve the statement. Otherwise a replica must have
	// applied the position after.
	primaryOnly bool
	after       logpos.Position
	// reason is why no replica can serve it.
	reason exclusion
}

// need returns what the statement needs of replicas. The group's mutex must be held.
func (g *group) need(req requirement) need {
	if req.primary {
		return need{primaryOnly: true, reason: excludedNotPrimary}
	}
	after, ok := g.requiredPosition(req)
	if !ok {
		return need{primaryOnly: true, reason: excludedUnknownPosition}
	}
	return need{after: after}
}

// exclusion returns why the target cannot serve the statement now. The group's mutex must be
// held.
func (g *group) exclusion(now time.Time, t *target, req requirement, n need) exclusion {
	if t.ID == g.primary {
		if why := g.primaryExclusion(now); why != notExcluded {
			return why
		}
	}
	if why := t.exclusion(now); why != notExcluded {
		return why
	}
	switch {
	case t.ID == g.primary && t.drained(now):
		return excludedDrained
	case t.ID == g.primary && !n.primaryOnly && req.avoid[t.ID]:
		return excludedAvoided
	case t.ID == g.primary:
		return notExcluded
	case n.primaryOnly:
		return n.reason
	case t.leaving(now):
		return excludedDraining
	case req.avoid[t.ID]:
		return excludedAvoided
	case !t.lag.LikelyCovers(now, n.after, g.staleness):
		return excludedLag
	}
	return notExcluded
}

// able returns the endpoints that can serve the statement now, the primary first, and whether
// only the primary can. It changes nothing. The group's mutex must be held.
func (g *group) able(now time.Time, req requirement) (able []choice, primaryOnly bool) {
	n := g.need(req)
	if primary := g.targets[g.primary]; primary != nil && g.exclusion(now, primary, req, n) == notExcluded {
		able = append(able, choice{target: primary, primary: true})
	}
	if n.primaryOnly {
		return able, true
	}
	for _, t := range g.targets {
		if t.ID != g.primary && g.exclusion(now, t, req, n) == notExcluded {
			able = append(able, choice{target: t, after: n.after})
		}
	}
	return able, false
}
