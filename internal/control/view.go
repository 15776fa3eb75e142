// Package control runs the daemon's one control goroutine. It drives the pure
// state machines of coord and publishes an immutable View that traffic
// goroutines read.
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
	// Marker is the first log entry of Term.
	Marker logpos.Position
	// PromotionPoint is the end of the log that the primary of Term started from.
	PromotionPoint logpos.Position
	// ConfirmAfter is the time before which no write of this term is confirmed,
	// and no read that saw one is answered: an earlier owner may still serve reads
	// that don't see it.
	ConfirmAfter time.Time
	// LeaseStart is the start of the latest poll that a majority answered with
	// Term, when the View was published; LeaseValid also counts later ones.
	LeaseStart time.Time
	// InTransition is true while this daemon knows that the primary is being replaced,
	// or hands the group over: new writes are held back, also while Owned.
	InTransition bool `json:"Changing"`
	// Endpoints holds the last status of each endpoint, by address.
	Endpoints map[string]EndpointView
	// OwnerAddress and OwnerIncarnation name the owner that this daemon knows,
	// which may be itself; empty if none is known.
	OwnerAddress     string
	OwnerIncarnation uint64
	// Candidates are the peer addresses of the group's candidates, best first.
	Candidates []string
	// lease holds later renewals; nil in a View that no Loop published.
	lease *leaseCell
}

// EndpointView is the last known state of one endpoint.
type EndpointView struct {
	platform.EndpointStatus
	// PolledAt is when the poll that returned this status started; zero if never.
	PolledAt time.Time `json:"At"`
	// Reachable is false after a failed or timed-out poll.
	Reachable bool
}

// ReadLease is the time D from the start of a majority poll during which an
// owner may serve reads.
const ReadLease = time.Second

// DriftAllowance covers the difference between the clock rates of two hosts
// over ReadLease.
const DriftAllowance = 100 * time.Millisecond

// local reports whether this daemon has a part in the group.
func (g GroupView) local() bool { return g.Owned || g.InTransition || len(g.Endpoints) > 0 }

// LeaseValid reports whether reads may be served at now. Renewals count, and so
// does the end of the ownership, although they came after this View was
// published.
func (g GroupView) LeaseValid(now time.Time) bool {
	start, ok := g.LeaseStart, g.Owned
	if ok && g.lease != nil {
		start, ok = g.lease.latest(start)
	}
	return ok && now.Sub(start) < ReadLease
}
