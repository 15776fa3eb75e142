// Package control runs the daemon's only control goroutine. It drives the state
// machines of coord, which have no side effects, and publishes an immutable View
// that traffic goroutines read.
package control

import (
	"time"

	"github.com/beryltrestle/beryltrestle/coord/logpos"
	"github.com/beryltrestle/beryltrestle/internal/manifest"
	"github.com/beryltrestle/beryltrestle/internal/platform"
)

// View is one immutable snapshot of the control state.
type View struct {
	// Generation is the manifest generation in force; 0 before the first one.
	Generation uint64
	Manifest   *manifest.Document
	// Groups holds every pool of the manifest, by name.
	Groups *Groups
}

// Group returns the view of a pool, the zero view if the manifest lacks it.
func (v *View) Group(pool string) GroupView {
	g, _ := v.Groups.Get(pool)
	return g
}

// GroupView is the control state of one group.
type GroupView struct {
	Pool manifest.Pool
	// Owned is true while this daemon holds the group's term and a majority has
	// received the marker.
	Owned bool
	Term  uint64
	// Primary is the address of the primary endpoint of Term.
	Primary string
	// Marker is the position of the first log entry of Term.
	Marker logpos.Position
	// PromotionPoint is the end of the primary's log when it was promoted for Term.
	PromotionPoint logpos.Position
	// ConfirmAfter is the time before which no write of this term may be confirmed
	// and no read that saw one may be answered: until then an earlier owner may
	// serve reads that don't see the write.
	ConfirmAfter time.Time
	// LeaseStart is the start of the latest poll that a majority answered with
	// Term, as of the publication of the View; LeaseValid also counts later polls.
	LeaseStart time.Time
	// InTransition is true while the primary is being replaced, as far as this
	// daemon knows, or this daemon hands the group over. New writes wait meanwhile,
	// also while Owned.
	InTransition bool `json:"Changing"`
	// Endpoints holds the last status of each endpoint, by address.
	Endpoints map[string]EndpointView
	// OwnerAddress and OwnerIncarnation name the owner that this daemon knows,
	// which may be itself; empty if none is known.
	OwnerAddress     string
	OwnerIncarnation uint64
	// Candidates are the peer addresses of the group's candidates, best first.
	Candidates []string
	// lease holds later renewals; nil if the View was not published by a Loop.
	lease *sharedLease
}

// EndpointView is the last known state of one endpoint.
type EndpointView struct {
	platform.EndpointStatus
	// PolledAt is when the poll that returned this status started; zero if no poll
	// has succeeded.
	PolledAt time.Time `json:"At"`
	// Reachable is false after a failed or timed-out poll.
	Reachable bool
}

// ReadLease is how long an owner may serve reads, counted from the start of a
// poll that a majority answered.
const ReadLease = time.Second

// DriftAllowance is the largest assumed clock drift between two hosts over
// ReadLease.
const DriftAllowance = 100 * time.Millisecond

// isLocal reports whether this daemon owns, claims or monitors the group.
func (g GroupView) isLocal() bool { return g.Owned || g.InTransition || len(g.Endpoints) > 0 }

// LeaseValid reports whether reads may be served at now. It takes into account
// renewals and the end of the ownership after this View was published.
func (g GroupView) LeaseValid(now time.Time) bool {
	start, ok := g.LeaseStart, g.Owned
	if ok && g.lease != nil {
		start, ok = g.lease.latestStart(start)
	}
	return ok && now.Sub(start) < ReadLease
}
