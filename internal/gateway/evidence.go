package gateway

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/permission"
)

// evidenceAge returns the age of the evidence for this host's permission to use primaries,
// for other hosts to base theirs on; nil if this host has none or is not listed.
func (c *controller) evidenceAge(now time.Time) *time.Duration {
	if c.permittedUntil.IsZero() {
		return nil
	}
	age := now.Sub(c.permittedUntil.Add(-permission.Duration))
	return &age
}

// applyEvidence records the evidence of another host that this host called at the given
// time. The fences of the message must have been applied before.
//
// The sender must know every group of this host, as it passes on the claims of its own
// groups only, and at least as many changes of the host list, as the list defines what a
// majority is. A message that this host did not ask for may have been delayed, so that
// its age is not known.
func (c *controller) applyEvidence(msg GossipMessage, began time.Time) {
	if began.IsZero() || msg.EvidenceAge == nil || !c.coversOwnGroups(msg.Groups) {
		return
	}
	if msg.MirrorVersions[TableState] < c.tables[TableState].Through() {
		return
	}
	if asOf := began.Add(-*msg.EvidenceAge); asOf.After(c.relayedEvidence) {
		c.relayedEvidence = asOf
	}
}

// coversOwnGroups reports whether the states include every group of this host.
func (c *controller) coversOwnGroups(states []GroupState) bool {
	covered := make(map[string]bool, len(states))
	for _, s := range states {
		covered[s.Group] = true
	}
	for name := range *c.gw.currentGroups.Load() {
		if !covered[name] {
			return false
		}
	}
	return true
}
